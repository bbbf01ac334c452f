package org.hawthornglade.core.replica;

/**
 * The time that an engine needs to carry out an order.
 *
 * @param nominalMs the time at full speed, in milliseconds
 * @param expectedMs the expected time given the other loads that run, in milliseconds
 */
public record OrderDuration(long nominalMs, long expectedMs) {
    /** Creates the duration of an order that nothing else slows down. */
    public static OrderDuration of(long nominalMs) {
        return new OrderDuration(nominalMs, nominalMs);
    }
}
