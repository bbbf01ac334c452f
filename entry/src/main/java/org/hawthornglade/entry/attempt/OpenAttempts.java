package org.hawthornglade.entry.attempt;

import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import org.hawthornglade.core.id.AttemptId;

/**
 * The attempts whose answers are being read, so that the decisions can break them off.
 *
 * <p>Safe for use by several threads.
 */
public final class OpenAttempts {
    private final ConcurrentHashMap<AttemptId, Optional<Runnable>> abortActions = new ConcurrentHashMap<>();

    /** Notes that an attempt is about to be sent. */
    void register(AttemptId attempt) {
        abortActions.put(attempt, Optional.empty());
    }

    /** Notes how an attempt's answer is broken off. */
    void setAbortAction(AttemptId attempt, Runnable stop) {
        abortActions.replace(attempt, Optional.of(stop));
    }

    /** Notes that an attempt's answer is no longer read. */
    void unregister(AttemptId attempt) {
        abortActions.remove(attempt);
    }

    /** Breaks an attempt's answer off; without effect if it is not being read. */
    public void abort(AttemptId attempt) {
        abortActions.getOrDefault(attempt, Optional.empty()).ifPresent(Runnable::run);
    }

    public int size() {
        return abortActions.size();
    }
}
