package org.hawthornglade.standin.service;

import java.util.ArrayList;
import java.util.List;
import org.hawthornglade.core.time.Clock;

/** Records the calls that a plain service has executed, in order. */
public final class ExecutionLog {
    private final Clock clock;
    private final List<ExecutedCall> calls = new ArrayList<>();

    /** Creates an empty log. */
    public ExecutionLog(Clock clock) {
        this.clock = clock;
    }

    synchronized ExecutedCall add(String method, String path, String idempotencyKey, String body) {
        ExecutedCall call = new ExecutedCall(calls.size() + 1L, clock.nowMs(), method, path, idempotencyKey, body);
        calls.add(call);
        return call;
    }

    /** Returns all calls recorded so far. */
    public synchronized List<ExecutedCall> calls() {
        return List.copyOf(calls);
    }
}
