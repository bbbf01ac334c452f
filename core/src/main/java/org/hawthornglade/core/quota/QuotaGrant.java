package org.hawthornglade.core.quota;

import org.hawthornglade.core.id.TeamName;

/**
 * What the leader grants an entry of the quota of one team.
 *
 * @param team the team
 * @param grantedUnits all units granted to the entry since the term began
 * @param keepUnits how many unused units the entry keeps; it returns more with its next report
 * @param share the share of the quota that the entry uses if it loses the leader, from 0 to 1
 * @param shortMs when the caller of an ask that was not granted should come back, from now; 0 if it was granted
 */
public record QuotaGrant(TeamName team, double grantedUnits, double keepUnits, double share, long shortMs) {}
