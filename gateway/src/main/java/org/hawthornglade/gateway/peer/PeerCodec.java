package org.hawthornglade.gateway.peer;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.apache.thrift.TDeserializer;
import org.apache.thrift.TException;
import org.apache.thrift.TSerializer;
import org.apache.thrift.protocol.TCompactProtocol;
import org.hawthornglade.core.fleet.InstancePlacement;
import org.hawthornglade.core.fleet.ReplicaState;
import org.hawthornglade.core.fleet.ReplicaStatus;
import org.hawthornglade.core.fleet.Variant;
import org.hawthornglade.core.id.AdapterName;
import org.hawthornglade.core.id.InstanceId;
import org.hawthornglade.core.id.ModelName;
import org.hawthornglade.core.id.ServiceName;
import org.hawthornglade.core.lease.FencingToken;
import org.hawthornglade.core.limit.LimitUpdate;
import org.hawthornglade.core.quarantine.QuarantineReport;
import org.hawthornglade.core.quarantine.QuarantineUpdate;
import org.hawthornglade.core.quota.QuotaReport;
import org.hawthornglade.core.quota.QuotaUpdate;
import org.hawthornglade.core.replica.EntryDemand;
import org.hawthornglade.core.replica.LoadLimits;
import org.hawthornglade.core.replica.ModelArrivals;
import org.hawthornglade.core.replica.VariantDemand;
import org.hawthornglade.core.store.StoreEra;
import org.hawthornglade.core.store.StoreRevision;
import org.hawthornglade.protocol.gen.peer.Arrivals;
import org.hawthornglade.protocol.gen.peer.DemandReport;
import org.hawthornglade.protocol.gen.peer.InstanceUse;
import org.hawthornglade.protocol.gen.peer.PeerMessage;
import org.hawthornglade.protocol.gen.peer.PlacedInstance;
import org.hawthornglade.protocol.gen.peer.PlacedModel;
import org.hawthornglade.protocol.gen.peer.PlacedStatus;
import org.hawthornglade.protocol.gen.peer.PlacementNews;
import org.hawthornglade.protocol.gen.peer.Running;
import org.hawthornglade.protocol.gen.peer.ServiceDemand;
import org.hawthornglade.protocol.gen.peer.StoreLimits;
import org.hawthornglade.protocol.gen.peer.Waiting;

/** Encodes the messages between entries to bytes and decodes them. */
final class PeerCodec {
    private PeerCodec() {}

    static byte[] encode(DemandUpdate update) {
        DemandReport report = new DemandReport(update.entry(), new ArrayList<>(), update.withoutArrivals());
        update.services().forEach((service, demand) -> report.addToServices(serviceDemand(service, demand)));
        LimitCodec.encode(update.permitRequests(), report);
        PeerMessage message = new PeerMessage();
        message.setDemand(report);
        return bytes(message);
    }

    static byte[] encode(PlacementUpdate update, long nowMs) {
        List<PlacedInstance> instances = new ArrayList<>();
        for (InstancePlacement placement : update.placements()) {
            int running = update.running().getOrDefault(placement.instance(), 0);
            instances.add(placedInstance(placement, running, nowMs));
        }
        List<StoreLimits> limits = new ArrayList<>();
        update.loadLimits()
                .forEach((service, learned) ->
                        limits.add(new StoreLimits(service.value(), learned.proven(), learned.max())));
        PeerMessage message = new PeerMessage();
        PlacementNews news = placementNews(update, instances).setStoreLimits(limits);
        if (!update.complete()) {
            news.setChangesOnly(true);
        }
        Set<InstanceId> named = new HashSet<>();
        update.placements().forEach(placement -> named.add(placement.instance()));
        update.running().forEach((instance, calls) -> {
            if (!named.contains(instance)) {
                news.putToRunning(instance.value(), calls);
            }
        });
        update.loads().forEach(loading -> news.addToLoads(placedInstance(loading, 0, nowMs)));
        message.setPlacement(news);
        return bytes(message);
    }

    private static PlacementNews placementNews(PlacementUpdate update, List<PlacedInstance> instances) {
        return new PlacementNews(
                        update.token().value(),
                        instances,
                        update.leaseRevision().number(),
                        update.entries())
                .setStoreEra(update.leaseRevision().era().number());
    }

    static byte[] encode(LimitUpdate update) {
        PeerMessage message = new PeerMessage();
        message.setLimits(LimitCodec.encode(update));
        return bytes(message);
    }

    static byte[] encode(String entry, QuarantineReport report, long nowMs) {
        PeerMessage message = new PeerMessage();
        message.setQuarantineReport(QuarantineCodec.encode(entry, report, nowMs));
        return bytes(message);
    }

    static byte[] encode(QuarantineUpdate update, long nowMs) {
        PeerMessage message = new PeerMessage();
        message.setQuarantine(QuarantineCodec.encode(update, nowMs));
        return bytes(message);
    }

    static byte[] encode(QuotaReport report) {
        PeerMessage message = new PeerMessage();
        message.setQuotaReport(QuotaCodec.encode(report));
        return bytes(message);
    }

    static byte[] encode(QuotaUpdate update) {
        PeerMessage message = new PeerMessage();
        message.setQuotas(QuotaCodec.encode(update));
        return bytes(message);
    }

    private static byte[] bytes(PeerMessage message) {
        try {
            return new TSerializer(new TCompactProtocol.Factory()).serialize(message);
        } catch (TException e) {
            throw new IllegalStateException("peer message cannot be serialized", e);
        }
    }

    /**
     * Decodes a frame.
     *
     * @throws IllegalArgumentException if it is not a valid message
     */
    static PeerMessage decode(byte[] frame) {
        PeerMessage message = new PeerMessage();
        try {
            new TDeserializer(new TCompactProtocol.Factory()).deserialize(message, frame);
        } catch (TException e) {
            throw new IllegalArgumentException("frame is not a valid peer message", e);
        }
        return message;
    }

    private static ServiceDemand serviceDemand(ServiceName service, EntryDemand demand) {
        ServiceDemand coded = new ServiceDemand(
                service.value(), new ArrayList<>(), new HashMap<>(), new ArrayList<>(), new ArrayList<>());
        demand.unreachable().forEach(instance -> coded.addToUnreachable(instance.value()));
        demand.leavingInstances().forEach((instance, bornMs) -> coded.putToSaidToLeave(instance.value(), bornMs));
        for (VariantDemand each : demand.waiting()) {
            Waiting waiting = new Waiting(each.variant().model().value(), each.calls(), each.slackMs());
            each.variant().adapter().ifPresent(adapter -> waiting.setAdapter(adapter.value()));
            if (each.expectedCalls() > 0) {
                waiting.setExpectedCalls(each.expectedCalls());
            }
            coded.addToWaiting(waiting);
        }
        demand.arrivals()
                .forEach((model, count) -> coded.putToArrivals(
                        model.value(),
                        new Arrivals(
                                count.minLatencyTargetMs(), count.callsPerSecond(), count.promptTokensPerSecond())));
        demand.running().forEach((instance, use) -> coded.addToInstances(instanceUse(instance, use)));
        return coded;
    }

    private static InstanceUse instanceUse(InstanceId instance, Map<Variant, Integer> use) {
        InstanceUse coded = new InstanceUse(instance.value(), new ArrayList<>());
        use.forEach((variant, count) -> {
            Running running = new Running(variant.model().value(), count);
            variant.adapter().ifPresent(adapter -> running.setAdapter(adapter.value()));
            coded.addToRunning(running);
        });
        return coded;
    }

    static DemandUpdate demand(DemandReport report) {
        Map<ServiceName, EntryDemand> services = new HashMap<>();
        for (ServiceDemand coded : report.getServices()) {
            services.put(ServiceName.of(coded.getServiceName()), entryDemand(coded));
        }
        return new DemandUpdate(
                report.getEntry(), services, report.isWithoutArrivals(), LimitCodec.permitRequests(report));
    }

    private static EntryDemand entryDemand(ServiceDemand coded) {
        List<VariantDemand> waiting = new ArrayList<>();
        for (Waiting each : coded.getWaiting()) {
            // Entries of the previous version send no expected calls.
            waiting.add(new VariantDemand(
                    variant(each.getModel(), each.getAdapter()),
                    each.getCalls(),
                    each.getExpectedCalls(),
                    each.getSlackMs()));
        }
        Map<ModelName, ModelArrivals> arrivals = new HashMap<>();
        coded.getArrivals()
                .forEach((model, count) -> arrivals.put(
                        ModelName.of(model),
                        new ModelArrivals(
                                count.getCallsPerSecond(),
                                count.getTightestTargetMs(),
                                count.getPromptTokensPerSecond())));
        Map<InstanceId, Map<Variant, Integer>> running = new HashMap<>();
        for (InstanceUse use : coded.getInstances()) {
            Map<Variant, Integer> counts = new HashMap<>();
            for (Running each : use.getRunning()) {
                counts.put(variant(each.getModel(), each.getAdapter()), each.getCalls());
            }
            running.put(InstanceId.of(use.getInstance()), counts);
        }
        Set<InstanceId> unreachable = new HashSet<>();
        coded.getUnreachable().forEach(instance -> unreachable.add(InstanceId.of(instance)));
        return new EntryDemand(waiting, arrivals, running, unreachable, leavingInstances(coded));
    }

    private static Map<InstanceId, Long> leavingInstances(ServiceDemand coded) {
        Map<InstanceId, Long> leavingInstances = new HashMap<>();
        if (coded.isSetSaidToLeave()) {
            coded.getSaidToLeave().forEach((instance, bornMs) -> leavingInstances.put(InstanceId.of(instance), bornMs));
        }
        return leavingInstances;
    }

    private static Variant variant(String model, String adapter) {
        return new Variant(ModelName.of(model), Optional.ofNullable(adapter).map(AdapterName::of));
    }

    private static PlacedInstance placedInstance(InstancePlacement placement, int running, long nowMs) {
        PlacedInstance coded =
                new PlacedInstance(placement.instance().value(), placement.bornMs(), new ArrayList<>(), running);
        placement.models().forEach((model, state) -> {
            long readyInMs = state.status() == ReplicaStatus.LOADING ? Math.max(0, state.readyAtMs() - nowMs) : 0;
            PlacedModel placed = new PlacedModel(model.value(), coded(state.status()), readyInMs, new HashMap<>());
            state.adapters().forEach((adapter, status) -> placed.putToAdapters(adapter.value(), coded(status)));
            coded.addToModels(placed);
        });
        return coded;
    }

    private static PlacedStatus coded(ReplicaStatus status) {
        return PlacedStatus.valueOf(status.name());
    }

    static PlacementUpdate placement(PlacementNews coded, long nowMs) {
        List<InstancePlacement> placements = new ArrayList<>();
        Map<InstanceId, Integer> running = new HashMap<>();
        for (PlacedInstance instance : coded.getInstances()) {
            placements.add(instancePlacement(instance, nowMs));
            running.put(InstanceId.of(instance.getInstance()), instance.getRunning());
        }
        // Entries of the previous version send none.
        if (coded.isSetRunning()) {
            coded.getRunning().forEach((instance, calls) -> running.put(InstanceId.of(instance), calls));
        }
        return new PlacementUpdate(
                !coded.isChangesOnly(),
                new FencingToken(coded.getFencingToken()),
                leaseRevision(coded),
                placements,
                loads(coded, nowMs),
                running,
                coded.getEntries(),
                loadLimits(coded));
    }

    private static List<InstancePlacement> loads(PlacementNews coded, long nowMs) {
        List<InstancePlacement> loads = new ArrayList<>();
        // Entries of the previous version send none.
        if (coded.isSetLoads()) {
            coded.getLoads().forEach(loading -> loads.add(instancePlacement(loading, nowMs)));
        }
        return loads;
    }

    private static InstancePlacement instancePlacement(PlacedInstance coded, long nowMs) {
        return new InstancePlacement(InstanceId.of(coded.getInstance()), coded.getBornMs(), models(coded, nowMs));
    }

    private static StoreRevision leaseRevision(PlacementNews coded) {
        // Entries of the previous version send no era.
        StoreEra era = coded.isSetStoreEra() ? new StoreEra(coded.getStoreEra()) : StoreEra.NONE;
        return new StoreRevision(era, coded.getLeaseRevision());
    }

    private static Map<ServiceName, LoadLimits> loadLimits(PlacementNews coded) {
        Map<ServiceName, LoadLimits> limits = new HashMap<>();
        // Entries of the previous version send none.
        if (coded.isSetStoreLimits()) {
            for (StoreLimits learned : coded.getStoreLimits()) {
                limits.put(
                        ServiceName.of(learned.getServiceName()),
                        new LoadLimits(learned.getProven(), learned.getMost()));
            }
        }
        return limits;
    }

    private static Map<ModelName, ReplicaState> models(PlacedInstance instance, long nowMs) {
        Map<ModelName, ReplicaState> models = new HashMap<>();
        for (PlacedModel placed : instance.getModels()) {
            ReplicaStatus status = ReplicaStatus.valueOf(placed.getStatus().name());
            Map<AdapterName, ReplicaStatus> adapters = new HashMap<>();
            placed.getAdapters()
                    .forEach((adapter, coded) ->
                            adapters.put(AdapterName.of(adapter), ReplicaStatus.valueOf(coded.name())));
            long readyAtMs = status == ReplicaStatus.LOADING ? nowMs + placed.getReadyInMs() : 0;
            models.put(ModelName.of(placed.getModel()), new ReplicaState(status, readyAtMs, adapters));
        }
        return models;
    }
}
