package org.hawthornglade.core.notice;

import java.util.OptionalDouble;

/**
 * Tracks the newest rate limit that an endpoint has advertised for all entries together.
 *
 * <p>Responses can arrive out of order. Of two whose order is unknown the stricter limit applies, until a request sent
 * later is answered.
 */
public final class RateLimitNotice {
    private AdvertisedLimit current = AdvertisedLimit.NONE;

    /**
     * Updates the limit from a response, which may advertise none.
     *
     * @return whether the limit in force has changed
     */
    public boolean update(AdvertisedLimit newer) {
        AdvertisedLimit previous = current;
        if (newer.definitelyAfter(current) || (!current.definitelyAfter(newer) && newer.stricterThan(current))) {
            current = newer;
        }
        return !current.sameLimit(previous);
    }

    /** Returns the limit in force. */
    public AdvertisedLimit current() {
        return current;
    }

    /** Returns the limit in force in requests per second; empty if the endpoint advertises none. */
    public OptionalDouble perSecond() {
        return current.perSecond();
    }
}
