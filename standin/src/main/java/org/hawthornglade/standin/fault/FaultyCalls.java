package org.hawthornglade.standin.fault;

import io.vavr.control.Either;
import java.util.function.Supplier;
import org.hawthornglade.core.result.Failure;
import org.hawthornglade.core.result.ResultCode;

/** Lets calls within one process meet the faults that they would meet over HTTP, without taking any time. */
public final class FaultyCalls {
    private static final int TOO_MANY_REQUESTS = 429;
    private static final int SERVICE_UNAVAILABLE = 503;
    private static final long RETRY_AFTER_MS = 1_000;

    private final FaultInjector faults;
    private final long timeoutMs;

    /**
     * Creates the faults of a stand-in.
     *
     * @param faults decides on each call
     * @param timeoutMs a call that is slower takes effect, but its answer is lost; in milliseconds
     */
    public FaultyCalls(FaultInjector faults, long timeoutMs) {
        this.faults = faults;
        this.timeoutMs = timeoutMs;
    }

    /** Makes a call that changes nothing. */
    public <T> Either<Failure, T> read(Supplier<Either<Failure, T>> call) {
        return apply(faults.next(false), call, ResultCode.PLATFORM_UNAVAILABLE);
    }

    /** Makes a call that may change something. */
    public <T> Either<Failure, T> change(Supplier<Either<Failure, T>> call) {
        return apply(faults.next(true), call, ResultCode.PLATFORM_OUTCOME_UNKNOWN);
    }

    private <T> Either<Failure, T> apply(FaultDecision decision, Supplier<Either<Failure, T>> call, ResultCode lost) {
        return switch (decision.kind()) {
            case REFUSE -> Either.left(refusal(decision, lost));
            case FREEZE -> Either.left(noReply(lost));
            case LOSE_REPLY -> loseReply(call, lost);
            case PASS -> decision.delayMs() > timeoutMs ? loseReply(call, lost) : call.get();
        };
    }

    private static <T> Either<Failure, T> loseReply(Supplier<Either<Failure, T>> call, ResultCode lost) {
        Either<Failure, T> ignored = call.get();
        return ignored.fold(failure -> Either.left(noReply(lost)), value -> Either.left(noReply(lost)));
    }

    private static Failure noReply(ResultCode lost) {
        return Failure.retryAfter(lost, "no whole answer", RETRY_AFTER_MS);
    }

    private static Failure refusal(FaultDecision decision, ResultCode lost) {
        ResultCode code =
                switch (decision.status()) {
                    case TOO_MANY_REQUESTS -> ResultCode.PLATFORM_RATE_LIMITED;
                    case SERVICE_UNAVAILABLE -> ResultCode.PLATFORM_UNAVAILABLE;
                    default -> lost;
                };
        return Failure.retryAfter(code, "refused with status " + decision.status(), decision.retryAfterMs());
    }
}
