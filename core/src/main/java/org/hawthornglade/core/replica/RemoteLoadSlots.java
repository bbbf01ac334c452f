package org.hawthornglade.core.replica;

import java.util.Collection;
import java.util.PriorityQueue;

/** When the next loads from the weight store can begin, as far as the number that run at once decides it. */
final class RemoteLoadSlots {
    private final PriorityQueue<Long> freeAtMs = new PriorityQueue<>();

    RemoteLoadSlots(Collection<EngineReplicaTracker> books, int lanes, long nowMs) {
        for (EngineReplicaTracker book : books) {
            if (book.hasRemoteLoad(nowMs)) {
                freeAtMs.add(Math.max(nowMs, book.remoteLoadEndsAtMs()));
            }
        }
        while (freeAtMs.size() < lanes) {
            freeAtMs.add(nowMs);
        }
    }

    long nextFreeMs() {
        return freeAtMs.element();
    }

    /** Takes note of a load that begins when the next lane is free. */
    void occupy(long untilMs) {
        freeAtMs.remove();
        freeAtMs.add(untilMs);
    }
}
