package org.hawthornglade.gateway.exchange;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.hawthornglade.core.dispatch.CallView;
import org.hawthornglade.core.fleet.Endpoint;
import org.hawthornglade.core.id.InstanceId;
import org.hawthornglade.core.quarantine.InstanceCrash;
import org.hawthornglade.core.quarantine.PromptQuarantine;
import org.hawthornglade.core.time.Clock;
import org.hawthornglade.gateway.loop.Timers;

/**
 * Tells the crash of an instance from a lost connection.
 *
 * <p>After an instance has cut off a call, a connection to it is opened: an instance that has crashed refuses it. A
 * connection that is accepted is kept for the next call.
 */
public final class CrashDetector {
    /** The time in which a process that crashes closes all its sockets, in milliseconds. */
    private static final long CHECK_DELAY_MS = 20;

    private record CutOffCall(CallView call, long sentAtMs, long atMs) {}

    private final Timers timers;
    private final Clock clock;
    private final EndpointConnections connections;
    private final PromptQuarantine quarantine;
    private final Map<InstanceCrash, List<CutOffCall>> checking = new HashMap<>();

    /** Creates a detector. */
    public CrashDetector(Timers timers, Clock clock, EndpointConnections connections, PromptQuarantine quarantine) {
        this.timers = timers;
        this.clock = clock;
        this.connections = connections;
        this.quarantine = quarantine;
    }

    /**
     * Handles a call whose connection an instance has ended before its response.
     *
     * @param sentAtMs when the call was sent to the instance
     */
    void onCutOff(Endpoint endpoint, CallView call, long sentAtMs) {
        if (endpoint.leaving()) {
            return;
        }
        InstanceId instance = endpoint.id();
        InstanceCrash crash = new InstanceCrash(instance, endpoint.record().bornMs());
        CutOffCall cutOff = new CutOffCall(call, sentAtMs, clock.nowMs());
        List<CutOffCall> pending = checking.get(crash);
        if (pending != null) {
            pending.add(cutOff);
            return;
        }
        checking.put(crash, new ArrayList<>(List.of(cutOff)));
        timers.after(
                CHECK_DELAY_MS,
                () -> connections.pool(endpoint.record()).checkAccepting(accepting -> onChecked(crash, accepting)));
    }

    private void onChecked(InstanceCrash crash, boolean accepting) {
        List<CutOffCall> calls = checking.remove(crash);
        if (accepting || calls == null) {
            return;
        }
        long nowMs = clock.nowMs();
        calls.forEach(each -> quarantine.onCrash(crash, each.call(), each.sentAtMs(), each.atMs(), nowMs));
    }
}
