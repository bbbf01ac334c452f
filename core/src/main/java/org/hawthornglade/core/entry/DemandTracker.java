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

/** What an entry wants of each model: requests that wait, that run, and that were told to come back. */
final class DemandTracker {
    private static final int MAX_RETRYING = 256;
    private static final long RETURN_MARGIN_MS = 2_000;

    private final Map<ModelName, ModelUsage> usages = new TreeMap<>();
    private final Map<ModelName, ArrayDeque<RetryingRequest>> retrying = new HashMap<>();
    private List<ModelDemand> published = List.of();

    void onReceived(TrackedRequest tracked, long nowMs) {
        if (targetsModel(tracked)) {
            usages.computeIfAbsent(tracked.queue(), model -> new ModelUsage()).received(nowMs);
        }
    }

    /** Counts a request on as demand until it is expected back; else its model would stay cold for it. */
    void onRetryAfter(TrackedRequest tracked, long retryAfterMs, long nowMs) {
        if (!targetsModel(tracked)) {
            return;
        }
        ArrayDeque<RetryingRequest> model = retrying.computeIfAbsent(tracked.queue(), name -> new ArrayDeque<>());
        model.add(new RetryingRequest(tracked, nowMs + retryAfterMs + RETURN_MARGIN_MS));
        if (model.size() > MAX_RETRYING) {
            model.remove();
        }
    }

    /**
     * Returns the demand if it is to be told again.
     *
     * @param anyChange whether the passing of time alone counts as a change
     */
    Optional<List<ModelDemand>> toPublish(
            Collection<TrackedRequest> waiting, Collection<OpenAttempt> open, boolean anyChange, long nowMs) {
        List<ModelDemand> demand = count(waiting, open, nowMs);
        boolean changed = anyChange ? !demand.equals(published) : !sameCounts(demand, published);
        if (!changed) {
            return Optional.empty();
        }
        published = demand;
        return Optional.of(demand);
    }

    private List<ModelDemand> count(Collection<TrackedRequest> waiting, Collection<OpenAttempt> open, long nowMs) {
        Map<ModelName, DemandCounter> counts = new TreeMap<>();
        usages.forEach((model, use) -> counts.put(model, new DemandCounter(model, use)));
        for (TrackedRequest tracked : waiting) {
            if (targetsModel(tracked)) {
                counts.get(tracked.queue()).addWaiting(tracked.request(), tracked.adapter(), nowMs);
            }
        }
        retrying.values().forEach(model -> model.removeIf(one -> nowMs >= one.untilMs));
        retrying.forEach((model, ones) -> ones.forEach(
                one -> counts.get(model).addRetrying(one.tracked.request(), one.tracked.adapter(), one.untilMs - nowMs)));
        for (OpenAttempt attempt : open) {
            if (targetsModel(attempt.tracked())) {
                counts.get(attempt.tracked().queue()).addRunning();
            }
        }
        List<ModelDemand> demand = new ArrayList<>();
        counts.values().forEach(count -> demand.add(count.toDemand(nowMs)));
        return demand;
    }

    private static boolean sameCounts(List<ModelDemand> one, List<ModelDemand> other) {
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
