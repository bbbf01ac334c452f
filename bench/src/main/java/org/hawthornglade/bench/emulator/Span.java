package org.hawthornglade.bench.emulator;

/**
 * A span of time, with its first moment and without its last.
 *
 * @param fromMs the first moment
 * @param toMs the moment after the last
 */
record Span(long fromMs, long toMs) {
    boolean contains(long atMs) {
        return atMs >= fromMs && atMs < toMs;
    }
}
