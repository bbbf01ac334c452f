package org.hawthornglade.bench.emulator;

/**
 * A limit that an endpoint names for a time.
 *
 * @param span when it names it
 * @param perSecond the requests a second that it takes from all entries
 */
record LimitPeriod(Span span, double perSecond) {}
