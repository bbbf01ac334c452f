package org.hawthornglade.standin.engine;

import io.vavr.control.Either;
import org.hawthornglade.core.engine.EngineOrder;
import org.hawthornglade.core.engine.EngineReport;
import org.hawthornglade.core.result.Failure;
import org.hawthornglade.ports.engine.EngineControl;
import org.hawthornglade.ports.engine.OrderAcknowledgement;
import org.hawthornglade.standin.fault.FaultyCalls;

/** Provides the control interface of an in-process engine with injected faults. */
public final class FaultyEngineControl implements EngineControl {
    private final EngineControl engine;
    private final FaultyCalls calls;

    /** Wraps an engine. */
    public FaultyEngineControl(EngineControl engine, FaultyCalls calls) {
        this.engine = engine;
        this.calls = calls;
    }

    @Override
    public Either<Failure, OrderAcknowledgement> order(EngineOrder order) {
        return calls.change(() -> engine.order(order));
    }

    @Override
    public Either<Failure, EngineReport> report() {
        return calls.read(engine::report);
    }

    @Override
    public Either<Failure, Boolean> cancel(String engineRequestId) {
        return calls.change(() -> engine.cancel(engineRequestId));
    }
}
