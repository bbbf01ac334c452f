package org.hawthornglade.standin.instance;

import java.util.List;
import org.hawthornglade.ports.instance.InstanceList;
import org.hawthornglade.standin.fault.FaultInjector;
import org.hawthornglade.standin.fault.FaultScript;
import org.hawthornglade.standin.fault.FaultyCalls;
import org.hawthornglade.standin.time.ManualTimers;

final class InMemoryInstanceListTest extends InstanceListContract {
    private final ManualTimers timers = new ManualTimers(0);
    private InMemoryInstanceList list;

    @Override
    InstanceList open(FaultScript script, int timeoutMs) {
        list = new InMemoryInstanceList(
                new InstanceListSettings("list", 0, LAG_MS, List.of(ENGINE, SERVICE), null), timers);
        return new FaultyInstanceList(list, new FaultyCalls(new FaultInjector(script), timeoutMs));
    }

    @Override
    InMemoryInstanceList standin() {
        return list;
    }

    @Override
    void advance(long byMs) {
        timers.advance(byMs);
    }
}
