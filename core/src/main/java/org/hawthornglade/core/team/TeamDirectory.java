package org.hawthornglade.core.team;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * The teams of a configuration and their keys.
 *
 * @param teams the teams in the order of the configuration
 * @param holders the team that holds each key
 */
public record TeamDirectory(List<Team> teams, Map<ApiKey, Team> holders) {
    /** The directory of a configuration without teams, in which no key is required. */
    public static final TeamDirectory NONE = new TeamDirectory(List.of(), Map.of());

    /** Copies the collections. */
    public TeamDirectory {
        teams = ImmutableList.copyOf(teams);
        holders = ImmutableMap.copyOf(holders);
    }

    /** Returns the team that holds a key; empty if no team does. */
    public Optional<Team> holderOf(ApiKey key) {
        return Optional.ofNullable(holders.get(key));
    }

    /** Returns whether the configuration has no teams. */
    public boolean isEmpty() {
        return teams.isEmpty();
    }
}
