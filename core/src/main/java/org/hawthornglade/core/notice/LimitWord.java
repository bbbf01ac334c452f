package org.hawthornglade.core.notice;

import java.util.OptionalDouble;

/**
 * What one answer says of the requests a second that its endpoint takes from all entries together.
 *
 * <p>The endpoint made the answer between the two times, so that of two answers one may be known to be older.
 *
 * @param perSecond the limit; nothing if the answer names none
 * @param sentAtMs when the request was sent, on the steady clock
 * @param heardAtMs when the head of the answer was read, on the same clock
 */
public record LimitWord(OptionalDouble perSecond, long sentAtMs, long heardAtMs) {
    /** What is known of an endpoint that has not said anything. */
    public static final LimitWord NONE = new LimitWord(OptionalDouble.empty(), Long.MIN_VALUE / 2, Long.MIN_VALUE / 2);

    /** Returns whether this word was surely given after another. */
    boolean surelyAfter(LimitWord other) {
        return sentAtMs >= other.heardAtMs;
    }

    /** Returns whether this word asks for more care than another. */
    boolean stricterThan(LimitWord other) {
        return perSecond.isPresent() && perSecond.getAsDouble() < other.perSecond.orElse(Double.MAX_VALUE);
    }

    /** Returns whether this word names the same limit as another, or none like it. */
    public boolean sameLimit(LimitWord other) {
        return perSecond.equals(other.perSecond);
    }
}
