package org.hawthornglade.standin.engine;

import org.hawthornglade.ports.engine.EngineControl;
import org.hawthornglade.standin.fault.FaultInjector;
import org.hawthornglade.standin.fault.FaultyCalls;
import org.hawthornglade.standin.time.ManualTimers;

final class InMemoryEngineTest extends EngineContract {
    private final ManualTimers timers = new ManualTimers(1);
    private final ReplicaCounter replicaCounter = new ReplicaCounter();
    private InMemoryEngine engine;

    @Override
    EngineControl open(EngineSettings settings, int timeoutMs) {
        FaultInjector faults = new FaultInjector(settings.faults());
        engine = new InMemoryEngine(settings, faults, timers, null, replicaCounter);
        return new FaultyEngineControl(engine, new FaultyCalls(faults, timeoutMs));
    }

    @Override
    InMemoryEngine standin() {
        return engine;
    }

    @Override
    ReplicaCounter replicaCounter() {
        return replicaCounter;
    }

    @Override
    void advance(long byMs) {
        timers.advance(byMs);
    }
}
