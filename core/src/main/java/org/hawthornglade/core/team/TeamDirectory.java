package org.hawthornglade.core.team;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.hawthornglade.core.id.TeamName;
import org.hawthornglade.core.result.ResultCode;

/**
 * The teams of a configuration and their keys.
 *
 * @param teams the teams in the order of the configuration
 * @param holders the team that holds each key
 * @param sharedKeys the teams that list a key of an earlier team
 */
public record TeamDirectory(List<Team> teams, Map<ApiKey, Team> holders, List<SharedKey> sharedKeys) {
    /** The directory of a configuration without teams, in which no key is required. */
    public static final TeamDirectory NONE = new TeamDirectory(List.of(), Map.of());

    /** Copies the collections. */
    public TeamDirectory {
        teams = ImmutableList.copyOf(teams);
        holders = ImmutableMap.copyOf(holders);
        sharedKeys = ImmutableList.copyOf(sharedKeys);
    }

    /** Creates a directory in which no two teams list the same key. */
    public TeamDirectory(List<Team> teams, Map<ApiKey, Team> holders) {
        this(teams, holders, List.of());
    }

    /**
     * Creates a directory from the keys that each team lists.
     *
     * @param listedKeys the keys of each team, in the order of the configuration; a key that several teams list belongs
     *     to the first of them
     */
    public static TeamDirectory of(Map<Team, List<ApiKey>> listedKeys) {
        Map<ApiKey, Team> holders = new LinkedHashMap<>();
        List<SharedKey> sharedKeys = new ArrayList<>();
        listedKeys.forEach((team, keys) -> {
            for (ApiKey key : keys) {
                Team holder = holders.putIfAbsent(key, team);
                if (holder != null && !holder.equals(team)) {
                    sharedKeys.add(new SharedKey(holder.name(), team.name()));
                }
            }
        });
        return new TeamDirectory(List.copyOf(listedKeys.keySet()), holders, sharedKeys);
    }

    /** Returns the team that holds a key; empty if no team does. */
    public Optional<Team> holderOf(ApiKey key) {
        return Optional.ofNullable(holders.get(key));
    }

    /** Returns the quotas of the teams that have one. */
    public Map<TeamName, TeamQuota> quotas() {
        ImmutableMap.Builder<TeamName, TeamQuota> quotas = ImmutableMap.builder();
        teams.forEach(team -> team.quota().ifPresent(quota -> quotas.put(team.name(), quota)));
        return quotas.buildKeepingLast();
    }

    /** Returns whether the configuration has no teams. */
    public boolean isEmpty() {
        return teams.isEmpty();
    }

    /**
     * Identifies the sender of a call.
     *
     * @param publicRoute whether the route of the call requires no key
     * @return the caller, or the result code with which the call is refused
     */
    public Either<ResultCode, CallerIdentity> identify(Credential credential, boolean publicRoute) {
        if (isEmpty()) {
            return Either.right(CallerIdentity.NO_TEAMS);
        }
        Optional<Team> team = credential.key().flatMap(this::holderOf);
        if (team.isPresent() || publicRoute) {
            return Either.right(new CallerIdentity(true, team));
        }
        return Either.left(credential.sent() ? ResultCode.UNKNOWN_KEY : ResultCode.MISSING_KEY);
    }
}
