package org.hawthornglade.standin.weight;

import io.vavr.control.Either;
import java.util.function.Consumer;
import org.hawthornglade.core.result.Failure;

/** Provides checkpoints to engines. */
public interface WeightStore {
    /**
     * Fetches a checkpoint.
     *
     * @param request what to fetch
     * @param done called once with the result; left with PLATFORM_RATE_LIMITED or PLATFORM_UNAVAILABLE if the
     *     checkpoint was not fetched
     */
    void fetch(FetchRequest request, Consumer<Either<Failure, FetchResult>> done);
}
