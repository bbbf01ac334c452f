package org.hawthornglade.ports.engine;

import io.vavr.control.Either;
import org.hawthornglade.core.engine.EngineOrder;
import org.hawthornglade.core.engine.EngineReport;
import org.hawthornglade.core.result.Failure;

/**
 * Sends orders to one engine, reads its reports and cancels its requests.
 *
 * <p>Calls block. Left: PLATFORM_UNAVAILABLE (the order did not reach the engine), PLATFORM_OUTCOME_UNKNOWN (it may
 * have), STALE_FENCING_NUMBER, MEMORY_EXHAUSTED or ENGINE_REFUSED (the order had no effect).
 */
public interface EngineControl {
    /** Sends an order; the engine accepts it at once and carries it out after the response. */
    Either<Failure, OrderAcknowledgement> order(EngineOrder order);

    /** Reads the engine's latest report. */
    Either<Failure, EngineReport> report();

    /** Cancels a running request; right and false if the engine does not know it. */
    Either<Failure, Boolean> cancel(String engineRequestId);
}
