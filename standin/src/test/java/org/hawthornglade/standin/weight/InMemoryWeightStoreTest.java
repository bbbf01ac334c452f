package org.hawthornglade.standin.weight;

import org.hawthornglade.standin.fault.FaultGate;
import org.hawthornglade.standin.time.ManualTimers;

final class InMemoryWeightStoreTest extends WeightStoreContract {
    private final ManualTimers timers = new ManualTimers(0);
    private final FaultGate faults = new FaultGate(null);
    private InMemoryWeightStore store;

    @Override
    WeightStore open(WeightStoreSettings settings) {
        store = new InMemoryWeightStore(settings, faults, timers);
        return new FaultyWeightStore(store, faults);
    }

    @Override
    InMemoryWeightStore truth() {
        return store;
    }

    @Override
    FaultGate faults() {
        return faults;
    }

    @Override
    void advance(long byMs) {
        timers.advance(byMs);
    }
}
