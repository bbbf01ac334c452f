package org.hawthornglade.bench.experiment;

/** The faults that runs are put through; each lasts from an hour and a half into the measured time. */
enum Fault {
    NONE(0),
    /** The weight store carries a tenth. */
    STORE_SLOW(30),
    /** The instance with most replicas is taken away; its assignments move once it is listed as gone. */
    INSTANCE_RECLAIMED(30),
    /** An agent's process is killed while it loads and is started again. */
    AGENT_KILLED(1),
    /** An instance is taken away while the table service is down, so that assignments cannot move. */
    TABLE_DOWN(10),
    /** Load reports arrive ten seconds late. */
    REPORTS_LATE(30),
    /** Endpoints drop cached prefixes and no event tells of it. */
    CACHE_EVENTS_LOST(30),
    /** Each request comes six times. */
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
