package org.hawthornglade.core.limit;

import java.util.List;

/**
 * What the leader tells one entry of endpoints with limits.
 *
 * @param serial rises with each news of the leader
 * @param sentAtMs when, on the leader's steady clock
 * @param requestedAtMs when the entry had asked, on the entry's own steady clock; permits count from then
 * @param statuses one for each endpoint
 */
public record LimitUpdate(long serial, long sentAtMs, long requestedAtMs, List<LimitStatus> statuses) {
    /** Copies the list. */
    public LimitUpdate {
        statuses = List.copyOf(statuses);
    }
}
