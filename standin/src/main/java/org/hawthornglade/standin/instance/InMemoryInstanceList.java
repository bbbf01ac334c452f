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

/** An instance list in memory, whose lines change later than the truth. */
public final class InMemoryInstanceList implements InstanceList {
    private final Map<InstanceId, InstanceInfo> actual = new LinkedHashMap<>();
    private final Map<InstanceId, InstanceInfo> visible = new LinkedHashMap<>();
    private final Timers timers;
    private long lagMs;

    /** Creates the list; its first lines show at once. */
    public InMemoryInstanceList(InstanceListSettings settings, Timers timers) {
        this.timers = timers;
        this.lagMs = settings.lagMs();
        settings.instances().forEach(line -> actual.put(line.id(), line));
        visible.putAll(actual);
    }

    @Override
    public synchronized Either<Failure, List<InstanceInfo>> list() {
        return Either.right(List.copyOf(visible.values()));
    }

    /** Sets how late the next changes show, in milliseconds. */
    public synchronized void setLagMs(long nextLagMs) {
        lagMs = nextLagMs;
    }

    /** Adds or replaces a line; it shows after the lag. */
    public synchronized void put(InstanceInfo line) {
        actual.put(line.id(), line);
        publishAfterLag(line);
    }

    /** Changes the state of a line; it shows after the lag. Returns false if there is no such line. */
    public synchronized boolean setState(InstanceId id, InstanceState state) {
        InstanceInfo line = actual.get(id);
        if (line == null) {
            return false;
        }
        put(withState(line, state));
        return true;
    }

    private static InstanceInfo withState(InstanceInfo line, InstanceState state) {
        return new InstanceInfo(
                line.id(),
                line.role(),
                line.service(),
                line.failureDomain(),
                line.host(),
                line.httpPort(),
                line.controlPort(),
                line.memoryMb(),
                line.accelerators(),
                state);
    }

    private void publishAfterLag(InstanceInfo line) {
        if (lagMs == 0) {
            visible.put(line.id(), line);
            return;
        }
        timers.after(lagMs, () -> publish(line));
    }

    private synchronized void publish(InstanceInfo line) {
        visible.put(line.id(), line);
    }
}
