package org.hawthornglade.standin.engine;

import org.hawthornglade.ports.engine.EngineControl;
import org.hawthornglade.ports.engine.HttpEngineControl;
import org.hawthornglade.standin.HttpFixture;
import org.hawthornglade.standin.StandinsSettings;
import org.hawthornglade.standin.time.ManualTimers;
import org.junit.jupiter.api.AfterEach;

final class HttpEngineControlTest extends EngineContract {
    private final ManualTimers timers = new ManualTimers(1);
    private HttpFixture fixture;

    @Override
    EngineControl open(EngineSettings settings, int timeoutMs) {
        fixture = new HttpFixture(StandinsSettings.of(settings), timers, timeoutMs);
        return new HttpEngineControl(fixture.uri(), fixture.http());
    }

    @Override
    InMemoryEngine standin() {
        return fixture.standins().engine(HttpFixture.NAME);
    }

    @Override
    ReplicaCounter replicaCounter() {
        return fixture.standins().replicaCounter();
    }

    @Override
    void advance(long byMs) {
        timers.advance(byMs);
    }

    @AfterEach
    void close() {
        fixture.close();
    }
}
