package org.hawthornglade.core.notice;

import java.util.OptionalDouble;

/**
 * The rate limit for all entries together that an endpoint advertised in one response.
 *
 * <p>The endpoint created the response between the two times, so that the order of two responses can be determined if
 * their intervals do not overlap.
 *
 * @param perSecond the limit in requests per second; empty if the response advertises none
 * @param sentAtMs when the request was sent, on the steady clock
 * @param receivedAtMs when the head of the response was read, on the same clock
 */
public record AdvertisedLimit(OptionalDouble perSecond, long sentAtMs, long receivedAtMs) {
    /** The limit of an endpoint that has not responded yet. */
    public static final AdvertisedLimit NONE =
            new AdvertisedLimit(OptionalDouble.empty(), Long.MIN_VALUE / 2, Long.MIN_VALUE / 2);

    /** Returns whether this limit was definitely advertised after another. */
    boolean definitelyAfter(AdvertisedLimit other) {
        return sentAtMs >= other.receivedAtMs;
    }

    /** Returns whether this limit allows fewer requests than another. */
    boolean stricterThan(AdvertisedLimit other) {
        return perSecond.isPresent() && perSecond.getAsDouble() < other.perSecond.orElse(Double.MAX_VALUE);
    }

    /** Returns whether both have the same limit, or both have none. */
    public boolean sameLimit(AdvertisedLimit other) {
        return perSecond.equals(other.perSecond);
    }
}
