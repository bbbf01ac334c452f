package org.hawthornglade.standin.weight;

import org.hawthornglade.standin.HttpFixture;
import org.hawthornglade.standin.StandinsSettings;
import org.hawthornglade.standin.fault.FaultInjector;
import org.hawthornglade.standin.time.ManualTimers;
import org.junit.jupiter.api.AfterEach;

final class HttpWeightStoreTest extends WeightStoreContract {
    private static final int TIMEOUT_MS = 20_000;

    private final ManualTimers timers = new ManualTimers(0);
    private HttpFixture fixture;
    private HttpWeightStore client;

    @Override
    WeightStore open(WeightStoreSettings settings) {
        fixture = new HttpFixture(StandinsSettings.of(settings), timers, TIMEOUT_MS);
        client = new HttpWeightStore(fixture.uri());
        return client;
    }

    @Override
    InMemoryWeightStore standin() {
        return fixture.standins().weights(HttpFixture.NAME);
    }

    @Override
    FaultInjector faults() {
        return fixture.standins().faults(HttpFixture.NAME);
    }

    @Override
    void advance(long byMs) {
        timers.advance(byMs);
    }

    @AfterEach
    void close() {
        client.close();
        fixture.close();
    }
}
