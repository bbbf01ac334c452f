package org.hawthornglade.entry.attempt;

import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import org.hawthornglade.core.id.AttemptId;

/**
 * Tracks the attempts whose responses are being read, so that the decider can abort them.
 *
 * <p>Safe for use by several threads.
 */
public final class OpenAttempts {
    private final ConcurrentHashMap<AttemptId, Optional<Runnable>> abortActions = new ConcurrentHashMap<>();

    /** Registers an attempt that is about to be sent. */
    void register(AttemptId attempt) {
        abortActions.put(attempt, Optional.empty());
    }

    /** Sets the action that aborts an attempt's response. */
    void setAbortAction(AttemptId attempt, Runnable abort) {
        abortActions.replace(attempt, Optional.of(abort));
    }

    /** Removes an attempt whose response is no longer read. */
    void unregister(AttemptId attempt) {
        abortActions.remove(attempt);
    }

    /** Aborts an attempt's response; has no effect if the response is not being read. */
    public void abort(AttemptId attempt) {
        abortActions.getOrDefault(attempt, Optional.empty()).ifPresent(Runnable::run);
    }

    public int size() {
        return abortActions.size();
    }
}
