package org.hawthornglade.standin.weight;

import io.vavr.control.Either;
import java.util.function.Consumer;
import org.hawthornglade.core.result.Failure;

/** A store that engines fetch checkpoints from. */
public interface WeightStore {
    /**
     * Fetches a checkpoint.
     *
     * @param request what to fetch
     * @param done hears once of the end; left with PLATFORM_RATE_LIMITED or PLATFORM_UNAVAILABLE if there is no
     *     checkpoint
     */
    void fetch(FetchRequest request, Consumer<Either<Failure, FetchResult>> done);
}
