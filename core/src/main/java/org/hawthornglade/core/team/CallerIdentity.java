package org.hawthornglade.core.team;

import java.util.Optional;

/**
 * Who sent a call, by the configuration that was in force on its arrival.
 *
 * @param teamsConfigured whether that configuration has teams; without teams, callers' headers are not changed
 * @param team the team that holds the caller's key; empty on a public route if the key is missing or unknown
 */
public record CallerIdentity(boolean teamsConfigured, Optional<Team> team) {
    /** The identity of each caller where no teams are configured. */
    public static final CallerIdentity NO_TEAMS = new CallerIdentity(false, Optional.empty());
}
