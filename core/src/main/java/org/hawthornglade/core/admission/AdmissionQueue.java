package org.hawthornglade.core.admission;

import io.vavr.control.Either;
import java.util.List;
import java.util.Optional;
import org.hawthornglade.core.id.ModelName;
import org.hawthornglade.core.id.RequestId;
import org.hawthornglade.core.result.Failure;
import org.hawthornglade.core.result.ResultCode;

/**
 * The requests that wait at one entry, in one queue a model. Calls must not overlap.
 *
 * <p>A request leaves the queue by exactly one of {@link #next}, {@link #expire}, {@link #shed} and {@link #remove}.
 */
public interface AdmissionQueue {
    /** Puts new weights and limits in force; what waits stays. */
    void configure(AdmissionWeights weights);

    /**
     * Takes in a request or refuses it.
     *
     * @param request the request; its id must not wait already
     * @param estimate what is expected of the model's replicas
     * @param nowMs the time now in milliseconds
     * @return the place it got; or left {@link ResultCode#QUEUE_FULL}, {@link ResultCode#DEADLINE_NOT_REACHABLE} or
     *     {@link ResultCode#ORGANISATION_OVER_SHARE}, with a time to come back above 0
     */
    Either<Failure, Admitted> offer(WaitingRequest request, ServiceEstimate estimate, long nowMs);

    /**
     * Takes out the request to dispatch next.
     *
     * @param model the base model that has a free slot
     * @param nowMs the time now in milliseconds
     * @return the request; empty if none waits whose deadline is ahead
     */
    Optional<WaitingRequest> next(ModelName model, long nowMs);

    /**
     * Takes out the requests whose deadline has passed.
     *
     * @param nowMs the time now in milliseconds
     * @return them, each with {@link ResultCode#DEADLINE_PASSED_WAITING} and a time to come back above 0
     */
    List<Refusal> expire(long nowMs);

    /**
     * Takes out the requests of a model that can no longer be answered in time, so that they hear it at once.
     *
     * @param model the base model
     * @param estimate what is expected of its replicas now
     * @param nowMs the time now in milliseconds
     * @return them, each with {@link ResultCode#DEADLINE_NOT_REACHABLE} and a time to come back above 0
     */
    List<Refusal> shed(ModelName model, ServiceEstimate estimate, long nowMs);

    /** Takes out a request that its caller gave up; empty if it does not wait. */
    Optional<WaitingRequest> remove(RequestId id);

    /** Returns what waits for a model. */
    QueueDemand demand(ModelName model, long nowMs);

    /** Returns how many requests wait for a model. */
    int size(ModelName model);
}
