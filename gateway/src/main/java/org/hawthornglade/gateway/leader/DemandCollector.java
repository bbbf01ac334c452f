package org.hawthornglade.gateway.leader;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.hawthornglade.core.dispatch.CallView;
import org.hawthornglade.core.dispatch.ModelDemand;
import org.hawthornglade.core.fleet.Endpoint;
import org.hawthornglade.core.fleet.Fleet;
import org.hawthornglade.core.fleet.Variant;
import org.hawthornglade.core.id.InstanceId;
import org.hawthornglade.core.id.ModelName;
import org.hawthornglade.core.id.ServiceName;
import org.hawthornglade.core.limit.PermitRequests;
import org.hawthornglade.core.replica.ArrivalCounter;
import org.hawthornglade.core.replica.EntryDemand;
import org.hawthornglade.core.replica.ModelArrivals;
import org.hawthornglade.core.replica.VariantDemand;
import org.hawthornglade.gateway.exchange.WaitingCalls;
import org.hawthornglade.gateway.peer.DemandUpdate;

/** Aggregates this entry's demand for models. */
public final class DemandCollector {
    /** Models with fewer calls than this are not reported. */
    private static final double MIN_CALLS_PER_S = 0.001;

    private final String entry;
    private final Fleet fleet;
    private final WaitingCalls waitingCalls;
    private final Map<ServiceName, Map<ModelName, ArrivalCounter>> counters = new HashMap<>();
    private boolean callsArrived;

    /**
     * Creates a collector.
     *
     * @param entry the name of this entry
     */
    public DemandCollector(String entry, Fleet fleet, WaitingCalls waitingCalls) {
        this.entry = entry;
        this.fleet = fleet;
        this.waitingCalls = waitingCalls;
    }

    /** Counts a call that requests a model. */
    public void onCall(CallView call) {
        callsArrived |= call.demand().isPresent();
        call.demand()
                .ifPresent(demand -> counters.computeIfAbsent(call.service(), service -> new HashMap<>())
                        .computeIfAbsent(demand.model(), model -> new ArrivalCounter())
                        .onCall(call.route().targetMs(), demand.ownTokens(), call.arrivedAtMs()));
    }

    /**
     * Returns the current demand.
     *
     * @param withArrivals whether to include the arrivals, which are the larger part
     */
    public DemandUpdate collect(boolean withArrivals, long nowMs) {
        callsArrived = false;
        Map<ServiceName, EntryDemand> services = new HashMap<>();
        counters.forEach((service, models) -> services.put(
                service,
                new EntryDemand(
                        waiting(service, nowMs),
                        withArrivals ? arrivals(models, nowMs) : Map.of(),
                        running(service),
                        unreachable(service, nowMs),
                        leaving(service))));
        return new DemandUpdate(entry, services, !withArrivals, PermitRequests.NONE);
    }

    /** Returns whether calls have arrived since the demand was last collected. */
    boolean callsArrived() {
        return callsArrived;
    }

    private static Map<ModelName, ModelArrivals> arrivals(Map<ModelName, ArrivalCounter> models, long nowMs) {
        Map<ModelName, ModelArrivals> arrivals = new HashMap<>();
        models.forEach((model, counter) -> {
            ModelArrivals recent = counter.arrivals(nowMs);
            if (recent.callsPerSecond() >= MIN_CALLS_PER_S) {
                arrivals.put(model, recent);
            }
        });
        return arrivals;
    }

    private List<VariantDemand> waiting(ServiceName service, long nowMs) {
        Map<Variant, VariantDemand> sums = new HashMap<>();
        waitingCalls.expectedRetries().pending(nowMs).forEach(call -> add(call, 1, service, sums, nowMs));
        waitingCalls.all().forEach(exchange -> add(exchange.view(), 0, service, sums, nowMs));
        return new ArrayList<>(sums.values());
    }

    private static void add(
            CallView call, int expectedCalls, ServiceName service, Map<Variant, VariantDemand> sums, long nowMs) {
        if (call.demand().isEmpty() || !call.service().equals(service)) {
            return;
        }
        ModelDemand demand = call.demand().get();
        Variant variant = new Variant(demand.model(), demand.adapter());
        long slackMs = call.arrivedAtMs() + call.route().targetMs() - nowMs;
        sums.merge(variant, new VariantDemand(variant, 1, expectedCalls, slackMs), VariantDemand::plus);
    }

    private Set<InstanceId> unreachable(ServiceName service, long nowMs) {
        Set<InstanceId> unreachable = new HashSet<>();
        for (Endpoint endpoint : fleet.usable(service)) {
            if (endpoint.health().unreachable(nowMs)) {
                unreachable.add(endpoint.id());
            }
        }
        return unreachable;
    }

    private Map<InstanceId, Long> leaving(ServiceName service) {
        Map<InstanceId, Long> leaving = new HashMap<>();
        for (Endpoint endpoint : fleet.all()) {
            if (endpoint.record().service().equals(service)
                    && endpoint.notices().leaving().received()) {
                leaving.put(endpoint.id(), endpoint.record().bornMs());
            }
        }
        return leaving;
    }

    private Map<InstanceId, Map<Variant, Integer>> running(ServiceName service) {
        Map<InstanceId, Map<Variant, Integer>> running = new HashMap<>();
        for (Endpoint endpoint : fleet.all()) {
            Map<Variant, Integer> use = endpoint.load().byVariant();
            if (endpoint.record().service().equals(service) && !use.isEmpty()) {
                running.put(endpoint.id(), Map.copyOf(use));
            }
        }
        return running;
    }
}
