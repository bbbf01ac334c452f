package org.hawthornglade.core.entry;

import java.util.EnumSet;
import java.util.Set;
import org.hawthornglade.core.result.Execution;
import org.hawthornglade.core.result.Failure;
import org.hawthornglade.core.result.ResultCode;

/** Decides what an ended attempt means for its request. */
final class OutcomeRules {
    static final long RETRY_AFTER_MS = 2_000;

    private static final int MAX_ATTEMPTS = 4;
    /** Codes that describe the call itself, whichever attempt sent it; another attempt would not change them. */
    private static final Set<ResultCode> CALL_LEVEL_CODES =
            EnumSet.of(ResultCode.CALL_IN_PROGRESS, ResultCode.ALREADY_RUN, ResultCode.OUTCOME_UNKNOWN);

    private OutcomeRules() {}

    /** Returns whether a retry of the request is safe and may succeed. */
    static boolean mayRetry(TrackedRequest tracked, AttemptOutcome outcome, long nowMs) {
        if (outcome.answerStarted() || tracked.isOverdue(nowMs) || tracked.attempts() >= MAX_ATTEMPTS) {
            return false;
        }
        if (outcome.execution() == Execution.NOT_RUN) {
            ResultCode code = outcome.failure().code();
            return code.hasRetryAfter() && code != ResultCode.CLAIM_NOT_POSSIBLE;
        }
        return tracked.request().idempotent();
    }

    /** Returns the failure sent to the caller after a failed attempt that is not retried. */
    static Failure finalFailure(IncomingRequest request, AttemptOutcome outcome, long nowMs) {
        Failure cause = outcome.failure();
        if (outcome.execution() == Execution.NOT_RUN) {
            return cause.code().execution() == Execution.NOT_RUN
                    ? cause
                    : Failure.retryAfter(ResultCode.CANCELLED_BEFORE_START, cause.message(), RETRY_AFTER_MS);
        }
        if (outcome.answerStarted()) {
            return Failure.of(ResultCode.ANSWER_INCOMPLETE, cause.message());
        }
        if (!request.idempotent() && CALL_LEVEL_CODES.contains(cause.code())) {
            return cause;
        }
        if (nowMs >= request.deadlineAtMs()) {
            return deadlinePassedRunning();
        }
        return request.idempotent()
                ? Failure.retryAfter(ResultCode.ENDPOINT_FAILED, cause.message(), RETRY_AFTER_MS)
                : Failure.of(ResultCode.OUTCOME_UNKNOWN, cause.message());
    }

    /** Returns the failure, or one that does not claim {@code NOT_RUN} if an earlier attempt may have run. */
    static Failure withoutFalseNotRun(TrackedRequest tracked, Failure failure, long nowMs) {
        if (!tracked.mayHaveRun() || failure.code().execution() != Execution.NOT_RUN) {
            return failure;
        }
        return tracked.isOverdue(nowMs)
                ? deadlinePassedRunning()
                : Failure.retryAfter(ResultCode.ENDPOINT_FAILED, failure.message(), RETRY_AFTER_MS);
    }

    static Failure deadlinePassedRunning() {
        return Failure.of(ResultCode.DEADLINE_PASSED_RUNNING, "the deadline passed while the request was running");
    }
}
