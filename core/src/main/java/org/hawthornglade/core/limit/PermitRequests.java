package org.hawthornglade.core.limit;

import java.util.List;

/**
 * The permit requests that an entry sends to the leader for rate-limited endpoints.
 *
 * @param sentAtMs when the message was sent, on the entry's steady clock
 * @param seenSerial the serial of the last {@link LimitUpdate} that the entry has read; 0 if none
 * @param requests one for each rate-limited endpoint
 */
public record PermitRequests(long sentAtMs, long seenSerial, List<PermitRequest> requests) {
    /** No requests. */
    public static final PermitRequests NONE = new PermitRequests(0, 0, List.of());

    /** Copies the list. */
    public PermitRequests {
        requests = List.copyOf(requests);
    }

    /** Returns whether at least one call needs a permit. */
    boolean requestsAny() {
        return requests.stream().anyMatch(request -> request.calls() + request.briefCalls() > 0);
    }
}
