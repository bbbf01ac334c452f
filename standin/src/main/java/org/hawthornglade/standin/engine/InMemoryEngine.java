package org.hawthornglade.standin.engine;

import io.vavr.control.Either;
import org.hawthornglade.core.engine.EngineOrder;
import org.hawthornglade.core.engine.EngineReport;
import org.hawthornglade.core.result.Failure;
import org.hawthornglade.ports.engine.EngineControl;
import org.hawthornglade.ports.engine.OrderAcknowledgement;
import org.hawthornglade.standin.fault.FaultInjector;
import org.hawthornglade.standin.time.Timers;
import org.hawthornglade.standin.weight.WeightStore;

/** One engine: its models and its requests. */
public final class InMemoryEngine implements EngineControl {
    private final EngineState state;
    private final Inference inference;

    /**
     * Creates an engine that holds nothing.
     *
     * @param store where remote checkpoints come from; null for one that is never busy
     * @param held counts what all engines hold
     */
    public InMemoryEngine(
            EngineSettings settings, FaultInjector faults, Timers timers, WeightStore store, ReplicaCounter held) {
        CheckpointLoader loader = new CheckpointLoader(settings, timers, store);
        this.state = new EngineState(settings, faults, timers, loader, held);
        this.inference = new Inference(settings, state, faults, timers);
    }

    @Override
    public Either<Failure, OrderAcknowledgement> order(EngineOrder order) {
        return state.order(order);
    }

    @Override
    public Either<Failure, EngineReport> report() {
        return Either.right(state.report());
    }

    @Override
    public Either<Failure, Boolean> cancel(String engineRequestId) {
        return Either.right(inference.cancel(engineRequestId));
    }

    /** Ends this run of the engine and begins another; see {@link EngineState#restart}. */
    public void restart() {
        state.restart();
        inference.reset();
    }

    public EngineState state() {
        return state;
    }

    public Inference inference() {
        return inference;
    }
}
