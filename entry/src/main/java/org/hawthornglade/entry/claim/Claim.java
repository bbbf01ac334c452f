package org.hawthornglade.entry.claim;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;

/**
 * A claim as its row holds it.
 *
 * @param state how far the call is
 * @param request the request that holds the claim
 * @param fingerprint the hash of the call
 * @param atMs when the row was last written, in milliseconds since the Unix epoch
 * @param deadlineAtMs when the holder's answer is due, in milliseconds since the Unix epoch; a holder that has not
 *     dispatched by then never does
 * @param status the HTTP status of the answer; 0 if none is recorded
 * @param contentType the content type of the answer; null if none is recorded
 * @param body the answer in Base64; null if none is recorded or it was too large
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
        /** The call may be under way, or its outcome is not known. */
        CLAIMED,
        /** The call was certainly not run; another request may claim it. */
        NOT_RUN,
        /** The call was run and answered. */
        DONE,
        /** The holder has given up without learning whether the call was run. */
        UNKNOWN
    }
}
