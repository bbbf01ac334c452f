package org.hawthornglade.core.entry;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.hawthornglade.core.id.ModelName;
import org.hawthornglade.core.report.ModelDemand;

/** Tracks the demand of an entry by model: requests waiting, running, and refused with a retry-after time. */
final class ModelDemandTracker {
    private static final int MAX_RETRYING = 256;
    private static final long RETRY_MARGIN_MS = 2_000;

    private final Map<ModelName, ModelUsage> usages = new TreeMap<>();
    private final Map<ModelName, ArrayDeque<RetryingRequest>> retrying = new HashMap<>();
    private List<ModelDemand> published = List.of();

    void onReceived(TrackedRequest tracked, long nowMs) {
        if (targetsModel(tracked)) {
            usages.computeIfAbsent(tracked.queue(), model -> new ModelUsage()).received(nowMs);
        }
    }

    /**
     * Keeps counting a refused request as demand until {@link #RETRY_MARGIN_MS} after its retry is due; otherwise its
     * model would not be loaded.
     */
    void onRetryAfter(TrackedRequest tracked, long retryAfterMs, long nowMs) {
        if (!targetsModel(tracked)) {
            return;
        }
        ArrayDeque<RetryingRequest> model = retrying.computeIfAbsent(tracked.queue(), name -> new ArrayDeque<>());
        model.add(new RetryingRequest(tracked, nowMs + retryAfterMs + RETRY_MARGIN_MS));
        if (model.size() > MAX_RETRYING) {
            model.remove();
        }
    }

    /**
     * Returns the demand if it must be published because it differs from the last published demand.
     *
     * @param waiting the requests that wait for an endpoint
     * @param open the attempts in flight
     * @param anyChange true if every difference counts, also one due only to the passing of time; false if only the
     *     models, their numbers of queued requests and their requested adapters are compared
     * @param nowMs the current time, in milliseconds
     */
    Optional<List<ModelDemand>> toPublish(
            Collection<TrackedRequest> waiting, Collection<OpenAttempt> open, boolean anyChange, long nowMs) {
        List<ModelDemand> demand = count(waiting, open, nowMs);
        boolean changed = anyChange ? !demand.equals(published) : !sameQueuedDemand(demand, published);
        if (!changed) {
            return Optional.empty();
        }
        published = demand;
        return Optional.of(demand);
    }

    private List<ModelDemand> count(Collection<TrackedRequest> waiting, Collection<OpenAttempt> open, long nowMs) {
        Map<ModelName, DemandCounter> counts = new TreeMap<>();
        usages.forEach((model, usage) -> counts.put(model, new DemandCounter(model, usage)));
        for (TrackedRequest tracked : waiting) {
            if (targetsModel(tracked)) {
                counts.get(tracked.queue()).addWaiting(tracked.request(), tracked.adapter(), nowMs);
            }
        }
        retrying.values().forEach(model -> model.removeIf(request -> nowMs >= request.untilMs));
        retrying.forEach((model, requests) -> requests.forEach(request -> counts.get(model)
                .addRetrying(request.tracked.request(), request.tracked.adapter(), request.untilMs - nowMs)));
        for (OpenAttempt attempt : open) {
            if (targetsModel(attempt.tracked())) {
                counts.get(attempt.tracked().queue()).addRunning();
            }
        }
        List<ModelDemand> demand = new ArrayList<>();
        counts.values().forEach(count -> demand.add(count.toDemand(nowMs)));
        return demand;
    }

    private static boolean sameQueuedDemand(List<ModelDemand> one, List<ModelDemand> other) {
        if (one.size() != other.size()) {
            return false;
        }
        for (int index = 0; index < one.size(); index++) {
            ModelDemand left = one.get(index);
            ModelDemand right = other.get(index);
            boolean same = left.model().equals(right.model())
                    && left.queued() == right.queued()
                    && left.adapters().equals(right.adapters());
            if (!same) {
                return false;
            }
        }
        return true;
    }

    private static boolean targetsModel(TrackedRequest tracked) {
        return tracked.request().target() instanceof Target.OnModel;
    }

    private record RetryingRequest(TrackedRequest tracked, long untilMs) {}
}
