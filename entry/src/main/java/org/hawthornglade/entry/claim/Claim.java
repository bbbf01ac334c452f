package org.hawthornglade.entry.claim;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;

/**
 * A claim as stored in its row of the table service.
 *
 * @param state the progress of the call
 * @param request the request that holds the claim
 * @param fingerprint the hash of the call; see {@link ClaimKey#fingerprint()}
 * @param atMs when the row was last written, in milliseconds since the Unix epoch
 * @param deadlineAtMs the deadline of the holder's request, in milliseconds since the Unix epoch; a holder that has
 *     not dispatched the call by then never dispatches it
 * @param status the HTTP status of the response; 0 if none is recorded
 * @param contentType the content type of the response; null if none is recorded
 * @param body the response body in Base64; null if none is recorded or it was too large
 */
@JsonIgnoreProperties(ignoreUnknown = true)
public record Claim(
        State state,
        String request,
        String fingerprint,
        long atMs,
        long deadlineAtMs,
        int status,
        String contentType,
        String body) {
    /** The states of a claim. */
    public enum State {
        /** The call may be in flight, or its outcome is not known. */
        CLAIMED,
        /** The call was certainly not run; another request may claim it. */
        NOT_RUN,
        /** The call was run and its response received. */
        DONE,
        /** The holder has ended without learning whether the call was run. */
        UNKNOWN
    }
}
