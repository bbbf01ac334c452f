package org.hawthornglade.gateway.exchange;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.hawthornglade.gateway.http.IncomingCall;
import org.hawthornglade.gateway.loop.Timers;

/** Keeps the calls that arrive before the configuration is known, for a short time. */
final class StartupQueue {
    /** A restarted entry knows its configuration within this time unless the store is away. */
    private static final long MAX_WAIT_MS = 1_000;

    private final Timers timers;
    private final Map<IncomingCall, Timers.Timeout> queued = new LinkedHashMap<>();

    StartupQueue(Timers timers) {
        this.timers = timers;
    }

    /** Keeps a call; it is given up if nothing has released it in time, and forgotten if its caller leaves. */
    void add(IncomingCall call, Consumer<IncomingCall> giveUp) {
        Timers.Timeout timeout = timers.after(MAX_WAIT_MS, () -> {
            if (queued.remove(call) != null) {
                giveUp.accept(call);
            }
        });
        queued.put(call, timeout);
        call.response().onGone(() -> {
            Timers.Timeout left = queued.remove(call);
            if (left != null) {
                left.cancel();
            }
        });
    }

    /** Hands all calls on, the first first. */
    void release(Consumer<IncomingCall> next) {
        for (Map.Entry<IncomingCall, Timers.Timeout> each : List.copyOf(queued.entrySet())) {
            queued.remove(each.getKey());
            each.getValue().cancel();
            next.accept(each.getKey());
        }
    }
}
