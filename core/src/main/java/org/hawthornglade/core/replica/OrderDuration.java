package org.hawthornglade.core.replica;

/**
 * How long an order takes to be carried out.
 *
 * @param nominalMs at full speed, in milliseconds
 * @param expectedMs as far as is known of what else runs, in milliseconds
 */
public record OrderDuration(long nominalMs, long expectedMs) {
    /** Creates the time of an order that nothing else slows down. */
    public static OrderDuration of(long nominalMs) {
        return new OrderDuration(nominalMs, nominalMs);
    }
}
