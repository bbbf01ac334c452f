package org.hawthornglade.core.admission;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.hawthornglade.core.id.ModelName;
import org.hawthornglade.core.id.OrganisationId;
import org.hawthornglade.core.id.RequestId;
import org.hawthornglade.core.id.ServiceClass;
import org.hawthornglade.core.result.Failure;
import org.hawthornglade.core.result.ResultCode;

/**
 * Admits only requests that are predicted to be answered in time, and shares the queues by weight among service classes
 * and organisations.
 *
 * <p>A class may hold {@code maxQueued} requests. The last quarter of these is reserved for organisations that hold
 * less than their share of the class, so that a burst from one organisation cannot lock out the others.
 */
public final class DeadlineAdmissionQueue implements AdmissionQueue {
    private static final double SHARED_QUEUE_PORTION = 0.75;
    private static final long MIN_RETRY_AFTER_MS = 100;

    private final Map<ModelName, ModelQueue> queues = new HashMap<>();
    private final Map<RequestId, WaitingRequest> waiting = new HashMap<>();
    private final Map<ModelName, ServiceEstimate> estimates = new HashMap<>();
    private final Map<ServiceClass, ClassOccupancy> occupancies = new HashMap<>();
    private AdmissionWeights weights;

    /** Creates an empty queue. */
    public DeadlineAdmissionQueue(AdmissionWeights weights) {
        this.weights = weights;
    }

    @Override
    public void configure(AdmissionWeights newWeights) {
        weights = newWeights;
    }

    @Override
    public Either<Failure, Admitted> offer(WaitingRequest request, ServiceEstimate estimate, long nowMs) {
        estimates.put(request.model(), estimate);
        ModelQueue queue = queues.computeIfAbsent(request.model(), model -> new ModelQueue(this::weightOf));
        ClassOccupancy occupancy = occupancies.computeIfAbsent(request.serviceClass(), name -> new ClassOccupancy());
        int maxQueued = weights.maxQueuedOf(request.serviceClass());
        if (occupancy.total >= maxQueued) {
            return Either.left(retryableFailure(
                    ResultCode.QUEUE_FULL, "the queue of the service class is full", nextFreeSlotInMs(estimate)));
        }
        if (occupancy.total >= SHARED_QUEUE_PORTION * maxQueued
                && occupancy.exceedsShare(request.organisation(), maxQueued)) {
            return Either.left(retryableFailure(
                    ResultCode.ORGANISATION_OVER_SHARE,
                    "the organisation has used up its share of the service class's queue",
                    nextFreeSlotInMs(estimate)));
        }
        long completionInMs = estimate.completionInMs(queue.ahead(request));
        long leftMs = request.deadlineAtMs() - nowMs;
        if (completionInMs > leftMs) {
            return Either.left(deadlineNotReachable(request, completionInMs, nowMs));
        }
        queue.add(request);
        waiting.put(request.id(), request);
        occupancy.add(request.organisation());
        return Either.right(new Admitted(request, completionInMs));
    }

    @Override
    public Optional<WaitingRequest> next(ModelName model, long nowMs) {
        ModelQueue queue = queues.get(model);
        if (queue == null) {
            return Optional.empty();
        }
        // Requests whose deadline has passed stay for expire, whose result is sent to their callers.
        Optional<WaitingRequest> next = queue.poll(nowMs);
        next.ifPresent(this::removeFromIndexes);
        return next;
    }

    @Override
    public List<Refusal> expire(long nowMs) {
        List<Refusal> refusals = new ArrayList<>();
        queues.forEach((model, queue) -> {
            for (WaitingRequest request : queue.removeExpired(nowMs)) {
                removeFromIndexes(request);
                long retryMs = estimates.get(model).completionInMs(queue.size());
                refusals.add(new Refusal(
                        request,
                        retryableFailure(
                                ResultCode.DEADLINE_PASSED_WAITING,
                                "the deadline passed while the request waited",
                                retryMs - lifetimeMs(request))));
            }
        });
        return refusals;
    }

    @Override
    public List<Refusal> shed(ModelName model, ServiceEstimate estimate, long nowMs) {
        estimates.put(model, estimate);
        ModelQueue queue = queues.get(model);
        if (queue == null) {
            return List.of();
        }
        List<Refusal> refusals = new ArrayList<>();
        for (WaitingRequest request : queue.removeUnreachable(estimate, nowMs)) {
            removeFromIndexes(request);
            refusals.add(
                    new Refusal(request, deadlineNotReachable(request, estimate.completionInMs(queue.size()), nowMs)));
        }
        return refusals;
    }

    @Override
    public Optional<WaitingRequest> remove(RequestId id) {
        WaitingRequest request = waiting.get(id);
        if (request == null) {
            return Optional.empty();
        }
        queues.get(request.model()).remove(request);
        removeFromIndexes(request);
        return Optional.of(request);
    }

    @Override
    public QueueDemand demand(ModelName model, long nowMs) {
        ModelQueue queue = queues.computeIfAbsent(model, name -> new ModelQueue(this::weightOf));
        return queue.demand(request -> weights.weightOf(request.serviceClass()), nowMs);
    }

    @Override
    public int size(ModelName model) {
        ModelQueue queue = queues.get(model);
        return queue == null ? 0 : queue.size();
    }

    private double weightOf(Flow.Key key) {
        return weights.weightOf(key.serviceClass()) * weights.shareOf(key.organisation());
    }

    private void removeFromIndexes(WaitingRequest request) {
        waiting.remove(request.id());
        occupancies.get(request.serviceClass()).remove(request.organisation());
    }

    // A request with the same time to live would be answered in time once the excess has been served.
    private static Failure deadlineNotReachable(WaitingRequest request, long completionInMs, long nowMs) {
        return retryableFailure(
                ResultCode.DEADLINE_NOT_REACHABLE,
                "the answer is predicted in " + completionInMs + " ms, the deadline is in "
                        + (request.deadlineAtMs() - nowMs) + " ms",
                completionInMs - lifetimeMs(request));
    }

    private static long lifetimeMs(WaitingRequest request) {
        return request.deadlineAtMs() - request.arrivedAtMs();
    }

    private static long nextFreeSlotInMs(ServiceEstimate estimate) {
        return estimate.readyInMs() + estimate.serviceMs() / estimate.slots();
    }

    private static Failure retryableFailure(ResultCode code, String message, long retryAfterMs) {
        return Failure.retryAfter(code, message, Math.max(MIN_RETRY_AFTER_MS, retryAfterMs));
    }

    /** Counts the waiting requests of one service class by organisation. */
    private final class ClassOccupancy {
        private final Map<OrganisationId, Integer> queued = new HashMap<>();
        private double activeShare;
        private int total;

        boolean exceedsShare(OrganisationId organisation, int maxQueued) {
            double share = weights.shareOf(organisation);
            int own = queued.getOrDefault(organisation, 0);
            double shares = own == 0 ? activeShare + share : activeShare;
            // A class that only one organisation uses still reserves room for a second one.
            double limit = Math.min(SHARED_QUEUE_PORTION, share / shares) * maxQueued;
            return own + 1 > limit;
        }

        void add(OrganisationId organisation) {
            if (queued.merge(organisation, 1, Integer::sum) == 1) {
                activeShare += weights.shareOf(organisation);
            }
            total++;
        }

        void remove(OrganisationId organisation) {
            if (queued.merge(organisation, -1, Integer::sum) == 0) {
                queued.remove(organisation);
                activeShare -= weights.shareOf(organisation);
            }
            total--;
        }
    }
}
