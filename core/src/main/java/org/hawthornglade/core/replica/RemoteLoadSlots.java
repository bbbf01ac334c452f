package org.hawthornglade.core.replica;

import java.util.Collection;
import java.util.PriorityQueue;

/** Tracks when the next loads from the weight store can start within the concurrency limit. */
final class RemoteLoadSlots {
    private final PriorityQueue<Long> freeAtMs = new PriorityQueue<>();

    RemoteLoadSlots(Collection<EngineReplicaTracker> trackers, int slots, long nowMs) {
        for (EngineReplicaTracker tracker : trackers) {
            if (tracker.hasRemoteLoad(nowMs)) {
                freeAtMs.add(Math.max(nowMs, tracker.remoteLoadEndsAtMs()));
            }
        }
        while (freeAtMs.size() < slots) {
            freeAtMs.add(nowMs);
        }
    }

    long nextFreeMs() {
        return freeAtMs.element();
    }

    /** Occupies the slot that is free next until a time. */
    void occupy(long untilMs) {
        freeAtMs.remove();
        freeAtMs.add(untilMs);
    }
}
