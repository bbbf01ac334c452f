package org.hawthornglade.core.limit;

import java.util.List;

/**
 * A message from the leader to one entry about rate-limited endpoints.
 *
 * @param serial rises with each update of the leader
 * @param sentAtMs when the message was sent, on the leader's steady clock
 * @param requestedAtMs when the entry sent the request that this answers, on the entry's own steady clock; permits are
 *     valid from then
 * @param statuses one for each rate-limited endpoint
 */
public record LimitUpdate(long serial, long sentAtMs, long requestedAtMs, List<LimitStatus> statuses) {
    /** Copies the list. */
    public LimitUpdate {
        statuses = List.copyOf(statuses);
    }
}
