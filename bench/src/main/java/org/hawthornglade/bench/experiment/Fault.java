package org.hawthornglade.bench.experiment;

/** The faults that are injected into runs; each starts an hour and a half into the measured time. */
enum Fault {
    NONE(0),
    /** The weight store runs at a tenth of its speed. */
    STORE_SLOW(30),
    /** The instance with most committed memory is removed; its assignments move once it is listed as gone. */
    INSTANCE_RECLAIMED(30),
    /** An agent's process is killed while it loads and is started again. */
    AGENT_KILLED(1),
    /** An instance is removed while the table service is down, so that assignments cannot move. */
    TABLE_DOWN(10),
    /** Load reports arrive ten seconds late. */
    REPORTS_LATE(30),
    /** Endpoints drop cached prefixes and no event reports it. */
    CACHE_EVENTS_LOST(30),
    /** Each request arrives six times. */
    SURGE(10);

    private static final long MINUTE_MS = 60_000;
    private static final long START_OFFSET_MS = 90 * MINUTE_MS;

    private final long durationMs;

    Fault(long durationMinutes) {
        this.durationMs = durationMinutes * MINUTE_MS;
    }

    long startMs(Trace trace) {
        return trace.measureFromMs() + START_OFFSET_MS;
    }

    long endMs(Trace trace) {
        return startMs(trace) + durationMs;
    }
}
