package org.hawthornglade.core.fleet;

import java.util.OptionalLong;

/** The right of one attempt to be sent to an endpoint, asked once more at the moment of sending. */
public final class SendRight {
    private final Endpoint endpoint;
    private OptionalLong permitUntilMs = OptionalLong.empty();

    /** Takes a permit if the endpoint limits what it takes and one is there. */
    public SendRight(Endpoint endpoint, long nowMs) {
        this.endpoint = endpoint;
        if (limited()) {
            permitUntilMs = endpoint.permits().take(nowMs);
        }
    }

    private boolean limited() {
        return endpoint.notices().limit().perSecond().isPresent();
    }

    /** Returns whether the request may be sent now; takes another permit if the first has ended. */
    public boolean holds(long nowMs) {
        if (!endpoint.notices().takesCalls(nowMs)) {
            return false;
        }
        if (limited() && permitUntilMs.orElse(nowMs) <= nowMs) {
            permitUntilMs = endpoint.permits().take(nowMs);
        }
        return !limited() || permitUntilMs.isPresent();
    }
}
