package org.hawthornglade.core.fleet;

import java.util.OptionalLong;

/** The permission to send one attempt to an endpoint, checked again at the moment of sending. */
public final class SendPermission {
    private final Endpoint endpoint;
    private OptionalLong permitUntilMs = OptionalLong.empty();

    /** Takes a permit if the endpoint advertises a rate limit and a permit is available. */
    public SendPermission(Endpoint endpoint, long nowMs) {
        this.endpoint = endpoint;
        if (limited()) {
            permitUntilMs = endpoint.permits().take(nowMs);
        }
    }

    private boolean limited() {
        return endpoint.notices().rateLimit().perSecond().isPresent();
    }

    /** Returns whether the request may be sent now; takes another permit if the first has expired. */
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
