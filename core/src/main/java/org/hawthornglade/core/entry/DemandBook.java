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
final class DemandBook {
    private static final int MAX_RETURNING = 256;
    private static final long RETURN_MARGIN_MS = 2_000;

    private final Map<ModelName, ModelUse> uses = new TreeMap<>();
    private final Map<ModelName, ArrayDeque<Returning>> returning = new HashMap<>();
    private List<ModelDemand> published = List.of();

    void received(TrackedRequest tracked, long nowMs) {
        if (isOnModel(tracked)) {
            uses.computeIfAbsent(tracked.queue(), model -> new ModelUse()).received(nowMs);
        }
    }

    /** Counts a request on as demand until it is expected back; else its model would stay cold for it. */
    void toldToComeBack(TrackedRequest tracked, long retryAfterMs, long nowMs) {
        if (!isOnModel(tracked)) {
            return;
        }
        ArrayDeque<Returning> model = returning.computeIfAbsent(tracked.queue(), name -> new ArrayDeque<>());
        model.add(new Returning(tracked, nowMs + retryAfterMs + RETURN_MARGIN_MS));
        if (model.size() > MAX_RETURNING) {
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
        Map<ModelName, DemandCount> counts = new TreeMap<>();
        uses.forEach((model, use) -> counts.put(model, new DemandCount(model, use)));
        for (TrackedRequest tracked : waiting) {
            if (isOnModel(tracked)) {
                counts.get(tracked.queue()).waits(tracked.request(), tracked.adapter(), nowMs);
            }
        }
        returning.values().forEach(model -> model.removeIf(one -> nowMs >= one.untilMs));
        returning.forEach((model, ones) -> ones.forEach(
                one -> counts.get(model).returns(one.tracked.request(), one.tracked.adapter(), one.untilMs - nowMs)));
        for (OpenAttempt attempt : open) {
            if (isOnModel(attempt.tracked())) {
                counts.get(attempt.tracked().queue()).runs();
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

    private static boolean isOnModel(TrackedRequest tracked) {
        return tracked.request().target() instanceof Target.OnModel;
    }

    private record Returning(TrackedRequest tracked, long untilMs) {}
}
