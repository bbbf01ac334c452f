package org.hawthornglade.gateway.exchange;

/**
 * An event whose id is not after that of the event before it.
 *
 * @param last the id of the event before
 * @param received the id of the event
 */
record EventDisorder(EventId last, EventId received) {}
