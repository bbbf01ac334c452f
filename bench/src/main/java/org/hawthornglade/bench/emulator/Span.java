package org.hawthornglade.bench.emulator;

/**
 * A half-open time interval.
 *
 * @param fromMs the start, inclusive, in milliseconds
 * @param toMs the end, exclusive, in milliseconds
 */
record Span(long fromMs, long toMs) {
    boolean contains(long atMs) {
        return atMs >= fromMs && atMs < toMs;
    }
}
