package org.hawthornglade.core.fleet;

import java.util.OptionalLong;

/** The right of one attempt to be sent to an endpoint, asked once more at the moment of sending. */
public final class SendPermission {
    private final Endpoint endpoint;
    private OptionalLong permitUntilMs = OptionalLong.empty();

    /** Takes a permit if the endpoint limits what it takes and one is there. */
    public SendPermission(Endpoint endpoint, long nowMs) {
        this.endpoint = endpoint;
        if (limited()) {
            permitUntilMs = endpoint.permits().take(nowMs);
        }
    }

    private boolean limited() {
        return endpoint.notices().rateLimit().perSecond().isPresent();
    }

    /** Returns whether the request may be sent now; takes another permit if the first has ended. */
    public boolean valid(long nowMs) {
        if (!endpoint.notices().acceptsCalls(nowMs)) {
            return false;
        }
        if (limited() && permitUntilMs.orElse(nowMs) <= nowMs) {
            permitUntilMs = endpoint.permits().take(nowMs);
        }
        return !limited() || permitUntilMs.isPresent();
    }
}
