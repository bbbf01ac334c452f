package org.hawthornglade.core.entry;

/** How often and when last an entry received a request for a model. */
final class ModelUsage {
    private long received;
    private long lastAtMs;

    void received(long nowMs) {
        received++;
        lastAtMs = nowMs;
    }

    long received() {
        return received;
    }

    long sinceLastMs(long nowMs) {
        return nowMs - lastAtMs;
    }
}
