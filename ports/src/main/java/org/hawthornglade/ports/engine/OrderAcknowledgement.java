package org.hawthornglade.ports.engine;

/**
 * An engine's response to an order that it accepted.
 *
 * @param orderSequence the number of the order in the engine's run; a report with this number or a higher one was taken
 *     after it
 * @param bootId identifies the engine's run
 */
public record OrderAcknowledgement(long orderSequence, long bootId) {}
