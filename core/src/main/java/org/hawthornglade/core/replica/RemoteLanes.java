package org.hawthornglade.core.replica;

import java.util.Collection;
import java.util.PriorityQueue;

/** When the next loads from the weight store can begin, as far as the number that run at once decides it. */
final class RemoteLanes {
    private final PriorityQueue<Long> freeAtMs = new PriorityQueue<>();

    RemoteLanes(Collection<EngineBook> books, int lanes, long nowMs) {
        for (EngineBook book : books) {
            if (book.loadingRemotely(nowMs)) {
                freeAtMs.add(Math.max(nowMs, book.remoteUntilMs()));
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
    void take(long untilMs) {
        freeAtMs.remove();
        freeAtMs.add(untilMs);
    }
}
