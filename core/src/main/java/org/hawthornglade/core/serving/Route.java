package org.hawthornglade.core.serving;

import java.util.List;

/**
 * A rule that maps requests to services, with the limits that apply to them.
 *
 * @param name the name that operators gave to the route
 * @param host the host in the callers' requests, in lower case and without a port
 * @param pathPrefix the prefix of the path; begins and ends with a slash
 * @param kind the execution guarantee of its calls
 * @param timeoutMs the maximum time until the end of the response
 * @param targetMs the latency target: to the first event of a stream, otherwise to the end of the response
 * @param gapTargetMs the latency target between two events of a stream; 0 if not a stream
 * @param abandonMs the time without an event after which callers abandon a stream; the timeout if not a stream
 * @param maxAttempts the maximum number of instances to which one call is sent
 * @param priority the priority; 0 is the highest
 * @param resumable whether a stream can be resumed at another instance
 * @param isPublic whether its calls need no key where teams are configured
 * @param targets the services with their weights; not empty
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
        boolean isPublic,
        List<WeightedService> targets) {
    /** Copies the list. */
    public Route {
        targets = List.copyOf(targets);
    }

    /** Creates a route that is not public. */
    public Route(
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
        this(
                name,
                host,
                pathPrefix,
                kind,
                timeoutMs,
                targetMs,
                gapTargetMs,
                abandonMs,
                maxAttempts,
                priority,
                resumable,
                false,
                targets);
    }

    /** Returns whether a call may run again, from the start or from its last event. */
    public boolean repeatable() {
        return kind == CallKind.SAFE || (kind == CallKind.STREAM && resumable);
    }
}
