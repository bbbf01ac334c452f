package org.hawthornglade.core.agent;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import org.hawthornglade.core.id.AttemptId;
import org.hawthornglade.core.id.ModelName;

/** Tracks the attempts running at an agent, those ended recently, and tombstones of those that must never start. */
final class AttemptTracker {
    /** How long ended attempts and tombstones are kept; longer than any deadline. */
    static final long RETENTION_MS = 15 * 60_000L;

    private static final int MAX_RETAINED = 50_000;

    private final Map<AttemptId, AttemptRequest> running = new HashMap<>();
    private final Map<ModelName, Integer> runningByModel = new HashMap<>();
    private final LinkedHashMap<AttemptId, PastAttempt> past = new LinkedHashMap<>();

    boolean isRunning(AttemptId id) {
        return running.containsKey(id);
    }

    boolean isTombstoned(AttemptId id) {
        PastAttempt known = past.get(id);
        return known != null && !known.started;
    }

    boolean hasEnded(AttemptId id) {
        PastAttempt known = past.get(id);
        return known != null && known.started;
    }

    int running() {
        return running.size();
    }

    /** Returns how many attempts run on a base model or with an adapter. */
    int running(ModelName model) {
        return runningByModel.getOrDefault(model, 0);
    }

    void onStarted(AttemptRequest attempt) {
        running.put(attempt.id(), attempt);
        count(attempt.model(), 1);
        count(attempt.adapter(), 1);
    }

    /** Removes an attempt that ended; returns it, or null if it was not running. */
    AttemptRequest onEnded(AttemptId id, long nowMs) {
        AttemptRequest attempt = running.remove(id);
        if (attempt == null) {
            return null;
        }
        count(attempt.model(), -1);
        count(attempt.adapter(), -1);
        recordPast(id, true, nowMs);
        return attempt;
    }

    void tombstone(AttemptId id, long nowMs) {
        recordPast(id, false, nowMs);
    }

    void removeExpired(long nowMs) {
        past.values().removeIf(known -> nowMs - known.atMs > RETENTION_MS);
    }

    private void count(ModelName name, int change) {
        if (name != null) {
            runningByModel.merge(name, change, (old, more) -> old + more == 0 ? null : old + more);
        }
    }

    private void recordPast(AttemptId id, boolean started, long nowMs) {
        past.put(id, new PastAttempt(started, nowMs));
        if (past.size() > MAX_RETAINED) {
            past.remove(past.keySet().iterator().next());
        }
    }

    private record PastAttempt(boolean started, long atMs) {}
}
