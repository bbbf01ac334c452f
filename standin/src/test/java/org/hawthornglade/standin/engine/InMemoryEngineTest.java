package org.hawthornglade.standin.engine;

import org.hawthornglade.ports.engine.EngineControl;
import org.hawthornglade.standin.fault.FaultGate;
import org.hawthornglade.standin.fault.FaultyCalls;
import org.hawthornglade.standin.time.ManualTimers;

final class InMemoryEngineTest extends EngineContract {
    private final ManualTimers timers = new ManualTimers(1);
    private final HeldModels held = new HeldModels();
    private InMemoryEngine engine;

    @Override
    EngineControl open(EngineSettings settings, int timeoutMs) {
        FaultGate faults = new FaultGate(settings.faults());
        engine = new InMemoryEngine(settings, faults, timers, null, held);
        return new FaultyEngineControl(engine, new FaultyCalls(faults, timeoutMs));
    }

    @Override
    InMemoryEngine truth() {
        return engine;
    }

    @Override
    HeldModels held() {
        return held;
    }

    @Override
    void advance(long byMs) {
        timers.advance(byMs);
    }
}
