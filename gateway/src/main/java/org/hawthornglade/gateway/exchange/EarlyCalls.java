package org.hawthornglade.gateway.exchange;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.hawthornglade.gateway.http.IncomingCall;
import org.hawthornglade.gateway.loop.Timers;

/** Keeps the calls that arrive before the configuration is known, for a short time. */
final class EarlyCalls {
    /** A restarted entry knows its configuration within this time unless the store is away. */
    private static final long HOLD_MS = 1_000;

    private final Timers timers;
    private final Map<IncomingCall, Timers.Timeout> held = new LinkedHashMap<>();

    EarlyCalls(Timers timers) {
        this.timers = timers;
    }

    /** Keeps a call; it is given up if nothing has released it in time, and forgotten if its caller leaves. */
    void hold(IncomingCall call, Consumer<IncomingCall> giveUp) {
        Timers.Timeout timeout = timers.after(HOLD_MS, () -> {
            if (held.remove(call) != null) {
                giveUp.accept(call);
            }
        });
        held.put(call, timeout);
        call.response().onGone(() -> {
            Timers.Timeout left = held.remove(call);
            if (left != null) {
                left.cancel();
            }
        });
    }

    /** Hands all calls on, the first first. */
    void release(Consumer<IncomingCall> next) {
        for (Map.Entry<IncomingCall, Timers.Timeout> each : List.copyOf(held.entrySet())) {
            held.remove(each.getKey());
            each.getValue().cancel();
            next.accept(each.getKey());
        }
    }
}
