package org.hawthornglade.standin.fault;

import io.vavr.control.Either;
import java.util.function.Supplier;
import org.hawthornglade.core.result.Failure;
import org.hawthornglade.core.result.ResultCode;

/** Applies to in-process calls the faults that they would get over HTTP, without any delay. */
public final class FaultyCalls {
    private static final int TOO_MANY_REQUESTS = 429;
    private static final int SERVICE_UNAVAILABLE = 503;
    private static final long RETRY_AFTER_MS = 1_000;

    private final FaultInjector faults;
    private final long timeoutMs;

    /**
     * Creates the fault handling for a stand-in.
     *
     * @param faults decides which fault applies to each call
     * @param timeoutMs the client time-out, in milliseconds; a slower call takes effect but its response is lost
     */
    public FaultyCalls(FaultInjector faults, long timeoutMs) {
        this.faults = faults;
        this.timeoutMs = timeoutMs;
    }

    /** Executes a call that changes nothing. */
    public <T> Either<Failure, T> read(Supplier<Either<Failure, T>> call) {
        return apply(faults.next(false), call, ResultCode.PLATFORM_UNAVAILABLE);
    }

    /** Executes a call that may change something. */
    public <T> Either<Failure, T> change(Supplier<Either<Failure, T>> call) {
        return apply(faults.next(true), call, ResultCode.PLATFORM_OUTCOME_UNKNOWN);
    }

    private <T> Either<Failure, T> apply(
            FaultDecision decision, Supplier<Either<Failure, T>> call, ResultCode codeIfLost) {
        return switch (decision.kind()) {
            case REFUSE -> Either.left(refusal(decision, codeIfLost));
            case FREEZE -> Either.left(noReply(codeIfLost));
            case LOSE_REPLY -> loseReply(call, codeIfLost);
            case PASS -> decision.delayMs() > timeoutMs ? loseReply(call, codeIfLost) : call.get();
        };
    }

    private static <T> Either<Failure, T> loseReply(Supplier<Either<Failure, T>> call, ResultCode codeIfLost) {
        Either<Failure, T> ignored = call.get();
        return ignored.fold(failure -> Either.left(noReply(codeIfLost)), value -> Either.left(noReply(codeIfLost)));
    }

    private static Failure noReply(ResultCode codeIfLost) {
        return Failure.retryAfter(codeIfLost, "no complete response", RETRY_AFTER_MS);
    }

    private static Failure refusal(FaultDecision decision, ResultCode codeIfLost) {
        ResultCode code =
                switch (decision.status()) {
                    case TOO_MANY_REQUESTS -> ResultCode.PLATFORM_RATE_LIMITED;
                    case SERVICE_UNAVAILABLE -> ResultCode.PLATFORM_UNAVAILABLE;
                    default -> codeIfLost;
                };
        return Failure.retryAfter(code, "refused with status " + decision.status(), decision.retryAfterMs());
    }
}
