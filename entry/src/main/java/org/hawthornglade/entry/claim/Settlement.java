package org.hawthornglade.entry.claim;

import org.hawthornglade.core.id.RequestId;

/**
 * The outcome of a claimed call, to be recorded in its claim.
 *
 * @param key identifies the call
 * @param request the request that holds the claim
 * @param deadlineAtMs the deadline of that request, in milliseconds since the Unix epoch
 * @param state NOT_RUN, DONE or UNKNOWN
 * @param response the response to record; null unless DONE
 */
public record Settlement(
        ClaimKey key, RequestId request, long deadlineAtMs, Claim.State state, RecordedResponse response) {
    /** Returns the settlement of a call that was certainly not run; another request may claim it. */
    public static Settlement notRun(ClaimRequest claim) {
        return new Settlement(claim.key(), claim.request(), claim.deadlineAtMs(), Claim.State.NOT_RUN, null);
    }

    /** Returns the settlement of a call that may have been run. */
    public static Settlement unknown(ClaimRequest claim) {
        return new Settlement(claim.key(), claim.request(), claim.deadlineAtMs(), Claim.State.UNKNOWN, null);
    }

    /** Returns the settlement of a call that was run and whose response was received. */
    public static Settlement done(ClaimRequest claim, RecordedResponse response) {
        return new Settlement(claim.key(), claim.request(), claim.deadlineAtMs(), Claim.State.DONE, response);
    }
}
