package org.hawthornglade.ports.engine;

import io.vavr.control.Either;
import org.hawthornglade.core.engine.EngineOrder;
import org.hawthornglade.core.engine.EngineReport;
import org.hawthornglade.core.result.Failure;

/**
 * The control side of one engine.
 *
 * <p>Calls block. Left: PLATFORM_UNAVAILABLE (the order did not reach the engine), PLATFORM_OUTCOME_UNKNOWN (it may
 * have), STALE_FENCING_NUMBER, MEMORY_EXHAUSTED or ENGINE_REFUSED (the order had no effect).
 */
public interface EngineControl {
    /** Gives an order; it is taken in at once and carried out after the answer. */
    Either<Failure, OrderAcknowledgement> order(EngineOrder order);

    /** Reads the engine's latest report. */
    Either<Failure, EngineReport> report();

    /** Cancels a running request; right and false if the engine does not know it. */
    Either<Failure, Boolean> cancel(String engineRequestId);
}
