package org.hawthornglade.core.admission;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.hawthornglade.core.id.ModelName;
import org.hawthornglade.core.id.RequestId;
import org.hawthornglade.core.result.Failure;
import org.hawthornglade.core.result.ResultCode;

/**
 * Holds an unbounded queue for each model in order of arrival; the baseline for measurements of {@link
 * DeadlineAdmissionQueue}.
 */
public final class FifoAdmissionQueue implements AdmissionQueue {
    private static final long RETRY_AFTER_MS = 1_000;

    private final Map<ModelName, LinkedHashMap<RequestId, WaitingRequest>> queues = new HashMap<>();
    private AdmissionWeights weights;

    /** Creates an empty queue. */
    public FifoAdmissionQueue(AdmissionWeights weights) {
        this.weights = weights;
    }

    @Override
    public void configure(AdmissionWeights newWeights) {
        weights = newWeights;
    }

    @Override
    public Either<Failure, Admitted> offer(WaitingRequest request, ServiceEstimate estimate, long nowMs) {
        LinkedHashMap<RequestId, WaitingRequest> queue =
                queues.computeIfAbsent(request.model(), model -> new LinkedHashMap<>());
        queue.put(request.id(), request);
        return Either.right(new Admitted(request, estimate.completionInMs(queue.size() - 1)));
    }

    @Override
    public Optional<WaitingRequest> next(ModelName model, long nowMs) {
        Map<RequestId, WaitingRequest> queue = queues.getOrDefault(model, new LinkedHashMap<>());
        Optional<WaitingRequest> first = queue.values().stream()
                .filter(request -> request.deadlineAtMs() > nowMs)
                .findFirst();
        first.ifPresent(request -> queue.remove(request.id()));
        return first;
    }

    @Override
    public List<Refusal> expire(long nowMs) {
        List<Refusal> refusals = new ArrayList<>();
        for (LinkedHashMap<RequestId, WaitingRequest> queue : queues.values()) {
            for (WaitingRequest request : queue.values()) {
                if (request.deadlineAtMs() <= nowMs) {
                    refusals.add(expired(request));
                }
            }
        }
        refusals.forEach(refusal -> remove(refusal.request().id()));
        return refusals;
    }

    private static Refusal expired(WaitingRequest request) {
        return new Refusal(
                request,
                Failure.retryAfter(
                        ResultCode.DEADLINE_PASSED_WAITING,
                        "the deadline passed while the request waited",
                        RETRY_AFTER_MS));
    }

    @Override
    public List<Refusal> shed(ModelName model, ServiceEstimate estimate, long nowMs) {
        return List.of();
    }

    @Override
    public Optional<WaitingRequest> remove(RequestId id) {
        for (LinkedHashMap<RequestId, WaitingRequest> queue : queues.values()) {
            WaitingRequest removed = queue.remove(id);
            if (removed != null) {
                return Optional.of(removed);
            }
        }
        return Optional.empty();
    }

    @Override
    public QueueDemand demand(ModelName model, long nowMs) {
        double weight = 0;
        long oldestWaitMs = 0;
        long earliestInMs = Long.MAX_VALUE;
        Set<ModelName> adapters = new HashSet<>();
        Map<RequestId, WaitingRequest> queue = queues.getOrDefault(model, new LinkedHashMap<>());
        for (WaitingRequest request : queue.values()) {
            weight += weights.weightOf(request.serviceClass());
            oldestWaitMs = Math.max(oldestWaitMs, nowMs - request.arrivedAtMs());
            earliestInMs = Math.min(earliestInMs, request.deadlineAtMs() - nowMs);
            if (request.adapter() != null) {
                adapters.add(request.adapter());
            }
        }
        return new QueueDemand(queue.size(), weight, oldestWaitMs, earliestInMs, adapters);
    }

    @Override
    public int size(ModelName model) {
        return queues.getOrDefault(model, new LinkedHashMap<>()).size();
    }
}
