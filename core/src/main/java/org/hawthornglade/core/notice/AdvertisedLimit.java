package org.hawthornglade.core.notice;

import java.util.OptionalDouble;

/**
 * What one answer says of the requests a second that its endpoint takes from all entries together.
 *
 * <p>The endpoint made the answer between the two times, so that of two answers one may be known to be older.
 *
 * @param perSecond the limit; nothing if the answer names none
 * @param sentAtMs when the request was sent, on the steady clock
 * @param receivedAtMs when the head of the answer was read, on the same clock
 */
public record AdvertisedLimit(OptionalDouble perSecond, long sentAtMs, long receivedAtMs) {
    /** What is known of an endpoint that has not said anything. */
    public static final AdvertisedLimit NONE = new AdvertisedLimit(OptionalDouble.empty(), Long.MIN_VALUE / 2, Long.MIN_VALUE / 2);

    /** Returns whether this word was surely given after another. */
    boolean definitelyAfter(AdvertisedLimit other) {
        return sentAtMs >= other.receivedAtMs;
    }

    /** Returns whether this word asks for more care than another. */
    boolean stricterThan(AdvertisedLimit other) {
        return perSecond.isPresent() && perSecond.getAsDouble() < other.perSecond.orElse(Double.MAX_VALUE);
    }

    /** Returns whether this word names the same limit as another, or none like it. */
    public boolean sameLimit(AdvertisedLimit other) {
        return perSecond.equals(other.perSecond);
    }
}
