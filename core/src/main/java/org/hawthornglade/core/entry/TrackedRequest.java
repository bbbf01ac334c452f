package org.hawthornglade.core.entry;

import java.util.HashSet;
import java.util.Set;
import org.hawthornglade.core.admission.WaitingRequest;
import org.hawthornglade.core.id.AttemptId;
import org.hawthornglade.core.id.InstanceId;
import org.hawthornglade.core.id.ModelName;
import org.hawthornglade.core.id.RequestId;

/**
 * A request and the state of its retries: how many attempts were made, on which instances, whether one may have run,
 * and the earliest time of the next one.
 */
final class TrackedRequest {
    private final IncomingRequest request;
    private final ModelName queue;
    private final Set<InstanceId> tried = new HashSet<>();
    private int attempts;
    private long notBeforeMs;
    private boolean mayHaveRun;

    TrackedRequest(IncomingRequest request) {
        this.request = request;
        this.queue = QueueNames.of(request.target());
    }

    RequestId id() {
        return request.id();
    }

    IncomingRequest request() {
        return request;
    }

    /** Returns the name of the queue in which the request waits. */
    ModelName queue() {
        return queue;
    }

    ModelName adapter() {
        return request.target() instanceof Target.OnModel onModel ? onModel.adapter() : null;
    }

    int attempts() {
        return attempts;
    }

    /** Returns the earliest time at which the request may be sent again, in milliseconds. */
    long notBeforeMs() {
        return notBeforeMs;
    }

    boolean wasTriedAt(InstanceId instance) {
        return tried.contains(instance);
    }

    /** Returns whether an earlier attempt may have run. */
    boolean mayHaveRun() {
        return mayHaveRun;
    }

    void recordMayHaveRun(boolean attemptMayHaveRun) {
        mayHaveRun |= attemptMayHaveRun;
    }

    boolean isOverdue(long nowMs) {
        return nowMs >= request.deadlineAtMs();
    }

    /** Counts a new attempt on an instance and returns its id. */
    AttemptId startAttempt(InstanceId instance) {
        attempts++;
        tried.add(instance);
        return AttemptId.of(request.id() + "." + attempts);
    }

    void deferUntil(long timeMs) {
        notBeforeMs = timeMs;
    }

    WaitingRequest toWaiting() {
        return new WaitingRequest(
                request.id(),
                queue,
                adapter(),
                request.serviceClass(),
                request.organisation(),
                request.arrivedAtMs(),
                request.deadlineAtMs());
    }
}
