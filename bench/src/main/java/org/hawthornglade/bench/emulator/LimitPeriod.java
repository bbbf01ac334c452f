package org.hawthornglade.bench.emulator;

/**
 * A limit that an endpoint advertises for some time.
 *
 * @param span when the endpoint advertises it
 * @param perSecond the requests per second that it accepts from all entries together
 */
record LimitPeriod(Span span, double perSecond) {}
