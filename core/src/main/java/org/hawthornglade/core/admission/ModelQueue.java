package org.hawthornglade.core.admission;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.ToDoubleFunction;
import org.hawthornglade.core.id.ModelName;

/**
 * Holds the requests that wait for one model and serves their flows by start-time fair queueing.
 *
 * <p>Each dispatch advances the start tag of a flow by one over its weight, and the flow with the lowest start tag is
 * served. So every flow gets its share however long the others are; within a flow the earliest deadline goes first.
 */
final class ModelQueue {
    private static final Comparator<Flow> LOWEST_START_TAG =
            Comparator.comparingDouble((Flow flow) -> flow.startTag).thenComparing(flow -> flow.key);

    private final Map<Flow.Key, Flow> flows = new HashMap<>();
    private final TreeSet<Flow> activeFlows = new TreeSet<>(LOWEST_START_TAG);
    private final ToDoubleFunction<Flow.Key> weightOf;
    private double virtualTime;
    private double activeWeight;
    private int size;

    ModelQueue(ToDoubleFunction<Flow.Key> weightOf) {
        this.weightOf = weightOf;
    }

    int size() {
        return size;
    }

    void add(WaitingRequest request) {
        Flow flow = flows.computeIfAbsent(keyOf(request), key -> new Flow(key, weightOf.applyAsDouble(key)));
        if (flow.requests.isEmpty()) {
            flow.weight = weightOf.applyAsDouble(flow.key);
            flow.startTag = Math.max(flow.startTag, virtualTime);
            activeWeight += flow.weight;
            activeFlows.add(flow);
        }
        if (flow.requests.add(request)) {
            size++;
        }
    }

    /** Returns how many waiting requests are expected to be dispatched before a new one. */
    int ahead(WaitingRequest request) {
        Flow flow = flows.get(keyOf(request));
        double weight = weightOf.applyAsDouble(keyOf(request));
        int before = flow == null ? 0 : flow.countBefore(request);
        boolean joins = flow == null || flow.requests.isEmpty();
        double others = joins ? activeWeight : activeWeight - flow.weight;
        return aheadAt(before, weight, others);
    }

    // While this flow dispatches "before" requests, the others together dispatch in proportion to their weights.
    private int aheadAt(int before, double weight, double otherWeight) {
        double interleaved = before + (before + 1) * Math.max(0, otherWeight) / weight;
        return (int) Math.min(size, Math.ceil(interleaved));
    }

    /** Removes and returns the request to dispatch; those whose deadline has passed are skipped and stay. */
    Optional<WaitingRequest> poll(long nowMs) {
        for (Flow flow : activeFlows) {
            WaitingRequest request = flow.firstUnexpired(nowMs);
            if (request != null) {
                dispatch(flow, request);
                return Optional.of(request);
            }
        }
        return Optional.empty();
    }

    private void dispatch(Flow flow, WaitingRequest request) {
        virtualTime = Math.max(virtualTime, flow.startTag);
        remove(request);
        boolean stillActive = activeFlows.remove(flow);
        flow.startTag += 1 / flow.weight;
        if (stillActive) {
            activeFlows.add(flow);
        }
    }

    boolean remove(WaitingRequest request) {
        Flow flow = flows.get(keyOf(request));
        if (flow == null || !flow.requests.remove(request)) {
            return false;
        }
        size--;
        if (flow.requests.isEmpty()) {
            activeWeight -= flow.weight;
            activeFlows.remove(flow);
        }
        return true;
    }

    /** Removes and returns the requests whose deadline has passed. */
    List<WaitingRequest> removeExpired(long nowMs) {
        List<WaitingRequest> expired = new ArrayList<>();
        for (Flow flow : List.copyOf(activeFlows)) {
            while (!flow.requests.isEmpty() && flow.requests.first().deadlineAtMs() <= nowMs) {
                WaitingRequest first = flow.requests.first();
                expired.add(first);
                remove(first);
            }
        }
        return expired;
    }

    /** Removes and returns the requests that would miss their deadline, given those that stay ahead of them. */
    List<WaitingRequest> removeUnreachable(ServiceEstimate estimate, long nowMs) {
        List<WaitingRequest> unreachable = new ArrayList<>();
        for (Flow flow : activeFlows) {
            int before = 0;
            for (WaitingRequest request : flow.requests) {
                int ahead = aheadAt(before, flow.weight, activeWeight - flow.weight);
                if (nowMs + estimate.completionInMs(ahead) > request.deadlineAtMs()) {
                    unreachable.add(request);
                } else {
                    before++;
                }
            }
        }
        unreachable.forEach(this::remove);
        return unreachable;
    }

    QueueDemand demand(ToDoubleFunction<WaitingRequest> classWeight, long nowMs) {
        double weight = 0;
        long oldestWaitMs = 0;
        long earliestInMs = Long.MAX_VALUE;
        Set<ModelName> adapters = new HashSet<>();
        for (Flow flow : activeFlows) {
            earliestInMs = Math.min(earliestInMs, flow.requests.first().deadlineAtMs() - nowMs);
            for (WaitingRequest request : flow.requests) {
                weight += classWeight.applyAsDouble(request);
                oldestWaitMs = Math.max(oldestWaitMs, nowMs - request.arrivedAtMs());
                if (request.adapter() != null) {
                    adapters.add(request.adapter());
                }
            }
        }
        return new QueueDemand(size, weight, oldestWaitMs, earliestInMs, adapters);
    }

    private static Flow.Key keyOf(WaitingRequest request) {
        return new Flow.Key(request.serviceClass(), request.organisation());
    }
}
