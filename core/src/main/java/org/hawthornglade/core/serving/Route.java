package org.hawthornglade.core.serving;

import java.util.List;

/**
 * Which requests go to which services, and under which limits.
 *
 * @param name the operator's name of the route
 * @param host the host that callers name, in lower case, without a port
 * @param pathPrefix the start of the path; begins and ends with a slash
 * @param kind how often a call may run
 * @param timeoutMs the longest time that a caller is kept waiting for the end of the answer
 * @param targetMs the latency target: to the end of the answer, of a stream to its first event
 * @param gapTargetMs the longest pause between two events of a stream that is still on time; 0 where not a stream
 * @param abandonMs after how long without an event the callers of a stream leave; the timeout where not a stream
 * @param maxAttempts to how many instances one call may be sent
 * @param priority the rank; 0 goes first
 * @param resumable whether a stream may be continued at another instance
 * @param targets the services; not empty
 */
public record Route(
        String name,
        String host,
        String pathPrefix,
        CallKind kind,
        long timeoutMs,
        long targetMs,
        long gapTargetMs,
        long abandonMs,
        int maxAttempts,
        int priority,
        boolean resumable,
        List<WeightedService> targets) {
    /** Copies the targets. */
    public Route {
        targets = List.copyOf(targets);
    }

    /** Returns whether a call may run a second time, wholly or from its last event on. */
    public boolean repeatable() {
        return kind == CallKind.SAFE || (kind == CallKind.STREAM && resumable);
    }
}
