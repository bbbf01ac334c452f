package org.hawthornglade.standin.weight;

import io.vavr.control.Either;
import java.util.function.Consumer;
import org.hawthornglade.core.result.Failure;
import org.hawthornglade.core.result.ResultCode;
import org.hawthornglade.standin.fault.FaultDecision;
import org.hawthornglade.standin.fault.FaultInjector;

/** Wraps an in-process weight store and injects faults into its fetches; a frozen store never answers. */
public final class FaultyWeightStore implements WeightStore {
    private static final int TOO_MANY_REQUESTS = 429;

    private final WeightStore store;
    private final FaultInjector faults;

    /** Wraps a weight store. */
    public FaultyWeightStore(WeightStore store, FaultInjector faults) {
        this.store = store;
        this.faults = faults;
    }

    @Override
    public void fetch(FetchRequest request, Consumer<Either<Failure, FetchResult>> done) {
        FaultDecision decision = faults.next(true);
        switch (decision.kind()) {
            case PASS -> store.fetch(request, done);
            case REFUSE -> done.accept(Either.left(refusal(decision)));
            case LOSE_REPLY ->
                done.accept(Either.left(Failure.of(ResultCode.PLATFORM_UNAVAILABLE, "no complete response")));
            default -> {
                // frozen: never answered
            }
        }
    }

    private static Failure refusal(FaultDecision decision) {
        ResultCode code = decision.status() == TOO_MANY_REQUESTS
                ? ResultCode.PLATFORM_RATE_LIMITED
                : ResultCode.PLATFORM_UNAVAILABLE;
        return Failure.retryAfter(code, "refused with status " + decision.status(), decision.retryAfterMs());
    }
}
