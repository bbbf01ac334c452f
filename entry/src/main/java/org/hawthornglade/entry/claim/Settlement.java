package org.hawthornglade.entry.claim;

import org.hawthornglade.core.id.RequestId;

/**
 * How a claimed call ended.
 *
 * @param key what was claimed
 * @param request who holds the claim
 * @param deadlineAtMs when its answer was due, in milliseconds since the Unix epoch
 * @param state NOT_RUN, DONE or UNKNOWN
 * @param response the answer to record; null unless DONE
 */
public record Settlement(ClaimKey key, RequestId request, long deadlineAtMs, Claim.State state, RecordedResponse response) {
    /** The call was certainly not run: another request may claim it. */
    public static Settlement notRun(ClaimRequest claim) {
        return new Settlement(claim.key(), claim.request(), claim.deadlineAtMs(), Claim.State.NOT_RUN, null);
    }

    /** The call may have been run. */
    public static Settlement unknown(ClaimRequest claim) {
        return new Settlement(claim.key(), claim.request(), claim.deadlineAtMs(), Claim.State.UNKNOWN, null);
    }

    /** The call was run and answered. */
    public static Settlement done(ClaimRequest claim, RecordedResponse answer) {
        return new Settlement(claim.key(), claim.request(), claim.deadlineAtMs(), Claim.State.DONE, answer);
    }
}
