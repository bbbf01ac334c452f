package org.hawthornglade.gateway.resumption;

import org.hawthornglade.core.time.Clock;

/** Estimates the store's clock from the times in its responses. */
final class StoreClock {
    private final Clock clock;
    private long offsetMs;

    StoreClock(Clock clock) {
        this.clock = clock;
    }

    /** Handles the time in a response of the store. */
    void onRead(long storeNowMs) {
        offsetMs = storeNowMs - clock.nowMs();
    }

    /** Converts a time of the steady clock to one of the store's clock. */
    long fromSteady(long atMs) {
        return atMs + offsetMs;
    }

    /** Converts a time of the store's clock to one of the steady clock. */
    long toSteady(long storeMs) {
        return storeMs - offsetMs;
    }
}
