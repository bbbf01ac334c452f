package org.hawthornglade.standin.instance;

import java.util.List;
import org.hawthornglade.ports.instance.HttpInstanceList;
import org.hawthornglade.ports.instance.InstanceList;
import org.hawthornglade.standin.HttpFixture;
import org.hawthornglade.standin.StandinsSettings;
import org.hawthornglade.standin.fault.FaultScript;
import org.hawthornglade.standin.time.ManualTimers;
import org.junit.jupiter.api.AfterEach;

final class HttpInstanceListTest extends InstanceListContract {
    private final ManualTimers timers = new ManualTimers(0);
    private HttpFixture fixture;

    @Override
    InstanceList open(FaultScript script, int timeoutMs) {
        InstanceListSettings settings =
                new InstanceListSettings(HttpFixture.NAME, 0, LAG_MS, List.of(ENGINE, SERVICE), script);
        fixture = new HttpFixture(StandinsSettings.of(settings), timers, timeoutMs);
        return new HttpInstanceList(fixture.uri(), fixture.http());
    }

    @Override
    InMemoryInstanceList standin() {
        return fixture.standins().instances(HttpFixture.NAME);
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
