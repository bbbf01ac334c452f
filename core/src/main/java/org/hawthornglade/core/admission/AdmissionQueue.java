package org.hawthornglade.core.admission;

import io.vavr.control.Either;
import java.util.List;
import java.util.Optional;
import org.hawthornglade.core.id.ModelName;
import org.hawthornglade.core.id.RequestId;
import org.hawthornglade.core.result.Failure;
import org.hawthornglade.core.result.ResultCode;

/**
 * Holds the requests that wait at one entry, in one queue for each model. Calls must not overlap.
 *
 * <p>A request leaves the queue by exactly one of {@link #next}, {@link #expire}, {@link #shed} and {@link #remove}.
 */
public interface AdmissionQueue {
    /** Applies new weights and limits; waiting requests stay in the queue. */
    void configure(AdmissionWeights weights);

    /**
     * Admits a request or rejects it.
     *
     * @param request the request; no request with its id may wait already
     * @param estimate the expected capacity of the model's replicas
     * @param nowMs the current time in milliseconds
     * @return the admitted request; or left {@link ResultCode#QUEUE_FULL}, {@link ResultCode#DEADLINE_NOT_REACHABLE} or
     *     {@link ResultCode#ORGANISATION_OVER_SHARE}, with a retry-after time above 0
     */
    Either<Failure, Admitted> offer(WaitingRequest request, ServiceEstimate estimate, long nowMs);

    /**
     * Removes and returns the request to dispatch next.
     *
     * @param model the base model that has a free slot
     * @param nowMs the current time in milliseconds
     * @return the request; empty if none waits whose deadline has not passed
     */
    Optional<WaitingRequest> next(ModelName model, long nowMs);

    /**
     * Removes the requests whose deadline has passed.
     *
     * @param nowMs the current time in milliseconds
     * @return the removed requests, each with {@link ResultCode#DEADLINE_PASSED_WAITING} and a retry-after time above 0
     */
    List<Refusal> expire(long nowMs);

    /**
     * Removes the requests for a model that can no longer be answered in time, so that they can be rejected at once.
     *
     * @param model the base model
     * @param estimate the expected capacity of its replicas now
     * @param nowMs the current time in milliseconds
     * @return the removed requests, each with {@link ResultCode#DEADLINE_NOT_REACHABLE} and a retry-after time above 0
     */
    List<Refusal> shed(ModelName model, ServiceEstimate estimate, long nowMs);

    /** Removes a request that its caller has cancelled; empty if it is not waiting. */
    Optional<WaitingRequest> remove(RequestId id);

    /** Returns the demand that waits for a model. */
    QueueDemand demand(ModelName model, long nowMs);

    /** Returns how many requests wait for a model. */
    int size(ModelName model);
}
