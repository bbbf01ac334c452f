package org.hawthornglade.standin.instance;

import io.vavr.control.Either;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.hawthornglade.core.id.InstanceId;
import org.hawthornglade.core.instance.InstanceInfo;
import org.hawthornglade.core.instance.InstanceState;
import org.hawthornglade.core.result.Failure;
import org.hawthornglade.ports.instance.InstanceList;
import org.hawthornglade.standin.time.Timers;

/** Keeps an instance list in memory; changes become visible after a lag. */
public final class InMemoryInstanceList implements InstanceList {
    private final Map<InstanceId, InstanceInfo> actual = new LinkedHashMap<>();
    private final Map<InstanceId, InstanceInfo> visible = new LinkedHashMap<>();
    private final Timers timers;
    private long lagMs;

    /** Creates the list; the initial instances are visible at once. */
    public InMemoryInstanceList(InstanceListSettings settings, Timers timers) {
        this.timers = timers;
        this.lagMs = settings.lagMs();
        settings.instances().forEach(instance -> actual.put(instance.id(), instance));
        visible.putAll(actual);
    }

    @Override
    public synchronized Either<Failure, List<InstanceInfo>> list() {
        return Either.right(List.copyOf(visible.values()));
    }

    /** Sets the lag of subsequent changes, in milliseconds. */
    public synchronized void setLagMs(long newLagMs) {
        lagMs = newLagMs;
    }

    /** Adds or replaces an instance; the change becomes visible after the lag. */
    public synchronized void put(InstanceInfo instance) {
        actual.put(instance.id(), instance);
        publishAfterLag(instance);
    }

    /** Changes the state of an instance, visible after the lag; false if there is no such instance. */
    public synchronized boolean setState(InstanceId id, InstanceState state) {
        InstanceInfo instance = actual.get(id);
        if (instance == null) {
            return false;
        }
        put(withState(instance, state));
        return true;
    }

    private static InstanceInfo withState(InstanceInfo instance, InstanceState state) {
        return new InstanceInfo(
                instance.id(),
                instance.role(),
                instance.service(),
                instance.failureDomain(),
                instance.host(),
                instance.httpPort(),
                instance.controlPort(),
                instance.memoryMb(),
                instance.accelerators(),
                state);
    }

    private void publishAfterLag(InstanceInfo instance) {
        if (lagMs == 0) {
            visible.put(instance.id(), instance);
            return;
        }
        timers.after(lagMs, () -> publish(instance));
    }

    private synchronized void publish(InstanceInfo instance) {
        visible.put(instance.id(), instance);
    }
}
