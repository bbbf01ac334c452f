package org.hawthornglade.core.replica;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.hawthornglade.core.fleet.Variant;
import org.hawthornglade.core.id.InstanceId;
import org.hawthornglade.core.id.ModelName;

/** Adds up the demand of all entries once, so that a planning round does not go through every entry again and again. */
final class DemandTotals {
    private static final ModelArrivals NO_ARRIVALS = new ModelArrivals(0, Long.MAX_VALUE, 0);

    private final int entries;
    private final Map<ModelName, ModelArrivals> arrivals = new HashMap<>();
    private final Map<Variant, VariantDemand> waiting = new HashMap<>();
    private final Set<ModelName> awaitedModels = new HashSet<>();
    private final Map<InstanceId, Map<Variant, Integer>> runningByVariant = new HashMap<>();
    private final Map<InstanceId, Map<ModelName, Integer>> runningByModel = new HashMap<>();
    private final Map<InstanceId, Integer> running = new HashMap<>();

    DemandTotals(Collection<EntryDemand> demands) {
        entries = demands.size();
        demands.forEach(this::add);
    }

    private void add(EntryDemand demand) {
        demand.arrivals().forEach((model, each) -> arrivals.merge(model, each, ModelArrivals::plus));
        for (VariantDemand each : demand.waiting()) {
            waiting.merge(each.variant(), each, VariantDemand::plus);
            awaitedModels.add(each.variant().model());
        }
        demand.running().forEach((instance, use) -> use.forEach((variant, calls) -> add(instance, variant, calls)));
    }

    private void add(InstanceId instance, Variant variant, int calls) {
        running.merge(instance, calls, Integer::sum);
        runningByVariant.computeIfAbsent(instance, id -> new HashMap<>()).merge(variant, calls, Integer::sum);
        runningByModel.computeIfAbsent(instance, id -> new HashMap<>()).merge(variant.model(), calls, Integer::sum);
    }

    int entries() {
        return entries;
    }

    ModelArrivals arrivals(ModelName model) {
        return arrivals.getOrDefault(model, NO_ARRIVALS);
    }

    boolean anyArrivals() {
        return !arrivals.isEmpty();
    }

    boolean hasWaitingCalls(ModelName model) {
        return awaitedModels.contains(model);
    }

    List<VariantDemand> waitingMostUrgentFirst() {
        List<VariantDemand> sorted = new ArrayList<>(waiting.values());
        sorted.sort(Comparator.comparingLong(VariantDemand::slackMs)
                .thenComparing(demand -> demand.variant().model()));
        return sorted;
    }

    int running(InstanceId instance) {
        return running.getOrDefault(instance, 0);
    }

    int running(InstanceId instance, ModelName model) {
        return runningByModel.getOrDefault(instance, Map.of()).getOrDefault(model, 0);
    }

    int running(InstanceId instance, Variant variant) {
        return runningByVariant.getOrDefault(instance, Map.of()).getOrDefault(variant, 0);
    }
}
