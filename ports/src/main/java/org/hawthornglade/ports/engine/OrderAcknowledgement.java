package org.hawthornglade.ports.engine;

/**
 * An engine's answer to an order that it took in.
 *
 * @param orderSequence the number of the order in the engine's run; a report with this number or a higher one was taken
 *     after it
 * @param bootId the engine's run
 */
public record OrderAcknowledgement(long orderSequence, long bootId) {}
