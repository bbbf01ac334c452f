package org.hawthornglade.core.dispatch;

import java.util.Optional;
import org.hawthornglade.core.fleet.Permits;

/** Registers one call among those that wait for a permit of a rate-limited endpoint. */
public final class PermitWaiter {
    private Optional<Permits> permits = Optional.empty();
    private boolean briefly;
    private int priority;

    /**
     * Registers the call.
     *
     * @return whether the leader should be notified immediately, as for the first waiting call
     */
    public boolean join(Decision.AwaitPermit decision, CallView call, long nowMs) {
        Permits requested = decision.endpoint().permits();
        permits = Optional.of(requested);
        briefly = decision.briefly();
        priority = call.priority();
        return briefly ? requested.joinBriefly(nowMs) : requested.join(priority, nowMs);
    }

    /** Removes the registration, if there is one. */
    public void leave() {
        permits.ifPresent(left -> {
            if (briefly) {
                left.leaveBriefly();
            } else {
                left.leave(priority);
            }
        });
        permits = Optional.empty();
    }
}
