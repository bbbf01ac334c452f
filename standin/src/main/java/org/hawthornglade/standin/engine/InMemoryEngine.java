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

/** Simulates one engine: its models and its requests. */
public final class InMemoryEngine implements EngineControl {
    private final EngineState state;
    private final Inference inference;

    /**
     * Creates an engine without models.
     *
     * @param store the source of remote checkpoints; null for one without contention
     * @param replicaCounter counts the replicas of all engines
     */
    public InMemoryEngine(
            EngineSettings settings,
            FaultInjector faults,
            Timers timers,
            WeightStore store,
            ReplicaCounter replicaCounter) {
        CheckpointLoader loader = new CheckpointLoader(settings, timers, store);
        this.state = new EngineState(settings, faults, timers, loader, replicaCounter);
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

    /** Ends the current run of the engine and begins a new one; see {@link EngineState#restart}. */
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
