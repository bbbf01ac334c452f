package org.hawthornglade.core.entry;

/** Counts the requests that an entry received for a model and keeps the time of the last one. */
final class ModelUsage {
    private long received;
    private long lastReceivedAtMs;

    void received(long nowMs) {
        received++;
        lastReceivedAtMs = nowMs;
    }

    long received() {
        return received;
    }

    long sinceLastMs(long nowMs) {
        return nowMs - lastReceivedAtMs;
    }
}
