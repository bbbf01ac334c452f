package org.hawthornglade.standin.weight;

import org.hawthornglade.standin.fault.FaultInjector;
import org.hawthornglade.standin.time.ManualTimers;

final class InMemoryWeightStoreTest extends WeightStoreContract {
    private final ManualTimers timers = new ManualTimers(0);
    private final FaultInjector faults = new FaultInjector(null);
    private InMemoryWeightStore store;

    @Override
    WeightStore open(WeightStoreSettings settings) {
        store = new InMemoryWeightStore(settings, faults, timers);
        return new FaultyWeightStore(store, faults);
    }

    @Override
    InMemoryWeightStore standin() {
        return store;
    }

    @Override
    FaultInjector faults() {
        return faults;
    }

    @Override
    void advance(long byMs) {
        timers.advance(byMs);
    }
}
