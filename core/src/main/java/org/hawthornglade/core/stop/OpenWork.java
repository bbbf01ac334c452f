package org.hawthornglade.core.stop;

/**
 * What an entry holds for its callers at one moment, and the end of its process would cut off.
 *
 * @param calls complete requests without a response
 * @param partialRequests connections with a part of a request
 * @param undeliveredResponses connections with a response that is not known to be with its caller
 */
public record OpenWork(int calls, int partialRequests, int undeliveredResponses) {
    /** Nothing is open. */
    public static final OpenWork NONE = new OpenWork(0, 0, 0);

    /** Returns the sum of both. */
    public OpenWork plus(OpenWork other) {
        return new OpenWork(
                calls + other.calls,
                partialRequests + other.partialRequests,
                undeliveredResponses + other.undeliveredResponses);
    }

    /** Returns whether the process can end without cutting anything off. */
    public boolean isEmpty() {
        return calls == 0 && partialRequests == 0 && undeliveredResponses == 0;
    }
}
