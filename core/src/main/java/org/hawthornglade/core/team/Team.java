package org.hawthornglade.core.team;

import java.util.Optional;
import java.util.OptionalInt;
import org.hawthornglade.core.id.TeamName;

/**
 * A team of callers.
 *
 * @param name the team
 * @param priority replaces the priority of a route, if present; 0 is the highest
 * @param quota what the team may use; empty if it is not limited
 */
public record Team(TeamName name, OptionalInt priority, Optional<TeamQuota> quota) {}
