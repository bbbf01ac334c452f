package org.hawthornglade.core.dispatch;

import java.util.Optional;
import org.hawthornglade.core.fleet.Permits;

/** The place of one call among those that wait for a permit to be sent to a limited endpoint. */
public final class PermitWaiter {
    private Optional<Permits> permits = Optional.empty();
    private boolean briefly;
    private int priority;

    /**
     * Takes a place.
     *
     * @return whether it is the first, so that the leader should hear of it at once
     */
    public boolean join(Decision.AwaitPermit asking, CallView call, long nowMs) {
        Permits joined = asking.endpoint().permits();
        permits = Optional.of(joined);
        briefly = asking.briefly();
        priority = call.route().priority();
        return briefly ? joined.joinBriefly(nowMs) : joined.join(priority, nowMs);
    }

    /** Gives the place up, if there is one. */
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
