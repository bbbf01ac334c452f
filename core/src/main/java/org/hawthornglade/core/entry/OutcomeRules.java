package org.hawthornglade.core.entry;

import java.util.EnumSet;
import java.util.Set;
import org.hawthornglade.core.result.Execution;
import org.hawthornglade.core.result.Failure;
import org.hawthornglade.core.result.ResultCode;

/** What an ended attempt means for its request. */
final class OutcomeRules {
    static final long RETRY_AFTER_MS = 2_000;

    private static final int MAX_ATTEMPTS = 4;
    /** Codes that speak of the call itself, whoever sent it; another attempt changes nothing. */
    private static final Set<ResultCode> CALL_LEVEL_CODES =
            EnumSet.of(ResultCode.CALL_IN_PROGRESS, ResultCode.ALREADY_RUN, ResultCode.OUTCOME_UNKNOWN);

    private OutcomeRules() {}

    /** Returns whether running a request again is safe and may help. */
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

    /** Returns what the caller is told of a failed attempt that is not repeated. */
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

    /** Returns the failure, or one that does not say "not run" if an earlier attempt may have run. */
    static Failure withoutFalseNotRun(TrackedRequest tracked, Failure failure, long nowMs) {
        if (!tracked.mayHaveRun() || failure.code().execution() != Execution.NOT_RUN) {
            return failure;
        }
        return tracked.isOverdue(nowMs)
                ? deadlinePassedRunning()
                : Failure.retryAfter(ResultCode.ENDPOINT_FAILED, failure.message(), RETRY_AFTER_MS);
    }

    static Failure deadlinePassedRunning() {
        return Failure.of(ResultCode.DEADLINE_PASSED_RUNNING, "the deadline passed while the request ran");
    }
}
