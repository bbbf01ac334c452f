package org.hawthornglade.core.notice;

import java.util.OptionalDouble;

/**
 * The newest word of an endpoint on the requests a second that it takes from all entries together.
 *
 * <p>Answers arrive out of order. Of two whose order is not known the stricter one holds, until a request that is sent
 * later is answered.
 */
public final class RateLimitNotice {
    private AdvertisedLimit current = AdvertisedLimit.NONE;

    /**
     * Takes what an answer says, or does not say.
     *
     * @return whether another limit holds now
     */
    public boolean update(AdvertisedLimit newer) {
        AdvertisedLimit before = current;
        if (newer.definitelyAfter(current) || (!current.definitelyAfter(newer) && newer.stricterThan(current))) {
            current = newer;
        }
        return !current.sameLimit(before);
    }

    /** Returns the word that holds. */
    public AdvertisedLimit current() {
        return current;
    }

    /** Returns the requests a second that the endpoint takes; nothing if it has named no limit. */
    public OptionalDouble perSecond() {
        return current.perSecond();
    }
}
