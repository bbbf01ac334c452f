package org.hawthornglade.gateway.exchange;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.hawthornglade.gateway.http.IncomingCall;
import org.hawthornglade.gateway.loop.Timers;

/** Holds calls that arrive before the configuration is known, for a short time. */
final class StartupQueue {
    /** A restarted entry receives its configuration within this time, unless the store is unreachable. */
    private static final long MAX_WAIT_MS = 1_000;

    private final Timers timers;
    private final Map<IncomingCall, Timers.Timeout> queued = new LinkedHashMap<>();

    StartupQueue(Timers timers) {
        this.timers = timers;
    }

    /**
     * Adds a call, which is removed if its caller disconnects.
     *
     * @param onTimeout receives the call if it is not released in time
     */
    void add(IncomingCall call, Consumer<IncomingCall> onTimeout) {
        Timers.Timeout timeout = timers.after(MAX_WAIT_MS, () -> {
            if (queued.remove(call) != null) {
                onTimeout.accept(call);
            }
        });
        queued.put(call, timeout);
        call.response().onGone(() -> {
            Timers.Timeout removed = queued.remove(call);
            if (removed != null) {
                removed.cancel();
            }
        });
    }

    /** Passes all calls on, in the order of their arrival. */
    void release(Consumer<IncomingCall> next) {
        for (Map.Entry<IncomingCall, Timers.Timeout> each : List.copyOf(queued.entrySet())) {
            queued.remove(each.getKey());
            each.getValue().cancel();
            next.accept(each.getKey());
        }
    }
}
