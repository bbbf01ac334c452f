package org.hawthornglade.core.quota;

import org.hawthornglade.core.id.TeamName;

/**
 * What an entry reports to the leader on the quota of one team.
 *
 * @param team the team
 * @param usedUnits the granted units that were used since the term of the leader began
 * @param returnedUnits the granted units that the entry gives back, since the term began
 * @param demandUnitsPerS the recent demand, refused requests included
 * @param askedUnits the units of the requests that wait for an answer
 * @param smallestAskUnits the units of the smallest of these requests
 * @param share the share of the quota that the entry uses if it loses the leader, from 0 to 1
 */
public record QuotaUse(
        TeamName team,
        double usedUnits,
        double returnedUnits,
        double demandUnitsPerS,
        double askedUnits,
        double smallestAskUnits,
        double share) {}
