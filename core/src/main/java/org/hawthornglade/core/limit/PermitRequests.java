package org.hawthornglade.core.limit;

import java.util.List;

/**
 * What an entry tells the leader of endpoints with limits.
 *
 * @param sentAtMs when, on the entry's steady clock
 * @param seenSerial the last news of the leader that the entry has read; 0 if none
 * @param requests one for each endpoint
 */
public record PermitRequests(long sentAtMs, long seenSerial, List<PermitRequest> requests) {
    /** Says nothing. */
    public static final PermitRequests NONE = new PermitRequests(0, 0, List.of());

    /** Copies the list. */
    public PermitRequests {
        requests = List.copyOf(requests);
    }

    /** Returns whether a call wants a permit. */
    boolean requestsAny() {
        return requests.stream().anyMatch(ask -> ask.calls() + ask.briefCalls() > 0);
    }
}
