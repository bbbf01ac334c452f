package org.hawthornglade.bench.experiment;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.BiConsumer;
import org.hawthornglade.bench.time.VirtualTime;
import org.hawthornglade.core.admission.AdmissionWeights;
import org.hawthornglade.core.admission.WaitingRequest;
import org.hawthornglade.core.config.Configuration;
import org.hawthornglade.core.config.OrganisationSpec;
import org.hawthornglade.core.engine.CheckpointTier;
import org.hawthornglade.core.id.FailureDomain;
import org.hawthornglade.core.id.InstanceId;
import org.hawthornglade.core.id.ModelName;
import org.hawthornglade.core.id.OrganisationId;
import org.hawthornglade.core.load.PlacementOption;
import org.hawthornglade.core.load.ReplicaLoadInput;

/** Simulates a trace with one set of policies and one fault. */
final class VirtualRun {
    static final long HEARTBEAT_TIMEOUT_MS = 3_000;
    static final long EXPECTED_SERVICE_MS = 6_000;
    private static final double MEMORY_MB_PER_MS = 12;
    private static final double DISK_MB_PER_MS = 3;
    private static final long REPORT_LAG_MS = 200;
    private static final long LATE_REPORT_LAG_MS = 10_000;
    private static final long INSTANCE_LIST_DELAY_MS = 15_000;
    private static final long AGENT_RESTART_MS = 5_000;
    private static final long CACHE_LOSS_EVERY_MS = 10_000;
    private static final double SLOW_STORE_FACTOR = 0.1;

    private final VirtualTime time = new VirtualTime();
    private final Trace trace;
    private final PolicySet policies;
    private final Fault fault;
    private final Measures measures;
    private final WeightStoreModel store;
    private final List<AgentModel> agents = new ArrayList<>();
    private final List<EntryModel> entries = new ArrayList<>();
    private final Map<ModelName, ModelProfile> models = new HashMap<>();
    private final Map<ModelName, List<AgentModel>> holders = new HashMap<>();
    private final Map<InstanceId, AgentModel> byInstance = new HashMap<>();
    private long reportLagMs = REPORT_LAG_MS;

    private VirtualRun(Trace trace, PolicySet policies, Fault window, Fault fault) {
        this.trace = trace;
        this.policies = policies;
        this.fault = fault;
        this.measures = new Measures(trace, window);
        this.store = new WeightStoreModel(time, trace.deployment().storeLoadsPerSecond());
        trace.models().forEach(model -> models.put(model.name(), model));
        createAgents();
        createEntries();
        trace.models().forEach(this::place);
    }

    /**
     * Runs to the end of the trace and returns the measurements.
     *
     * @param window the fault whose time determines the shares measured during and after it
     * @param fault the fault to inject; {@link Fault#NONE} to measure the same time without it
     * @param surgeTimes the number of times that each request arrives in a surge
     */
    static RunResult run(Trace trace, PolicySet policies, Fault window, Fault fault, int surgeTimes) {
        Trace faulted = fault == Fault.SURGE
                ? TraceGenerator.withSurge(trace, fault.startMs(trace), fault.endMs(trace), surgeTimes)
                : trace;
        return new VirtualRun(faulted, policies, window, fault).run();
    }

    /** Creates a run that passes each outcome and the agents at that time to an observer. */
    static VirtualRun observed(
            Trace trace, PolicySet policies, Fault fault, BiConsumer<WaitingRequest, List<AgentModel>> observer) {
        VirtualRun run = new VirtualRun(trace, policies, fault, fault);
        run.measures.observe(request -> observer.accept(request, run.agents));
        return run;
    }

    RunResult run() {
        agents.forEach(agent -> agent.endpoint.reportChange());
        scheduleFault();
        scheduleArrival(0);
        time.runUntil(trace.endMs());
        agents.forEach(agent -> agent.replicas.values().stream()
                .filter(replica -> replica.held() && replica.running == 0)
                .forEach(replica -> measures.idle(replica, time.nowMs())));
        return measures.result(policies.name(), time.nowMs());
    }

    private void createAgents() {
        Deployment deployment = trace.deployment();
        int memoryMb = deployment.acceleratorsPerServer() * TraceGenerator.ACCELERATOR_MB;
        for (int i = 0; i < deployment.servers(); i++) {
            FailureDomain domain = FailureDomain.of("domain-" + i % deployment.failureDomains());
            AgentModel agent = new AgentModel(this, i, InstanceId.of("server-%02d".formatted(i)), domain, memoryMb);
            agents.add(agent);
            byInstance.put(agent.instance, agent);
        }
    }

    private void createEntries() {
        Deployment deployment = trace.deployment();
        List<OrganisationSpec> organisations = new ArrayList<>();
        for (int i = 0; i < deployment.organisations(); i++) {
            organisations.add(new OrganisationSpec(OrganisationId.of("organisation-" + i), 1 + i % 3, 0));
        }
        AdmissionWeights weights = AdmissionWeights.of(new Configuration(
                1, "", "", 0, organisations, deployment.classes(), null, null, null, deployment.idle()));
        for (int i = 0; i < deployment.entries(); i++) {
            FailureDomain domain = FailureDomain.of("domain-" + i % deployment.failureDomains());
            entries.add(new EntryModel(this, i, domain, weights, trace.seed() * 31 + i));
        }
    }

    private void place(ModelProfile model) {
        for (int ordinal = 0; ordinal < model.spec().maxReplicas(); ordinal++) {
            assign(model, ordinal);
        }
    }

    private void assign(ModelProfile model, int ordinal) {
        List<AgentModel> current = holders.computeIfAbsent(model.name(), name -> new ArrayList<>());
        Set<FailureDomain> taken = new HashSet<>();
        current.forEach(agent -> taken.add(agent.domain));
        List<PlacementOption> options = agents.stream()
                .filter(agent -> agent.up() && !current.contains(agent))
                .map(agent -> option(agent, model))
                .toList();
        Optional<PlacementOption> chosen =
                policies.placement().choose(model.spec().reservedMb(), options, taken);
        chosen.map(option -> agent(option.instance())).ifPresent(agent -> {
            CheckpointTier tier = model.tiers().get(agent.index);
            agent.replicas.put(
                    model.name(),
                    new ReplicaModel(model, ordinal, tier, trace.deployment().entries()));
            current.add(agent);
            agent.endpoint.reportChange();
        });
    }

    private PlacementOption option(AgentModel agent, ModelProfile model) {
        return new PlacementOption(
                agent.instance,
                agent.domain,
                agent.memoryMb,
                agent.committedMb(),
                loadMs(model, model.tiers().get(agent.index)));
    }

    long loadMs(ModelProfile model, CheckpointTier tier) {
        return loadMs(model.spec().memoryMb(), tier);
    }

    static long loadMs(int weightsMb, CheckpointTier tier) {
        return switch (tier) {
            case MEMORY -> Math.round(weightsMb / MEMORY_MB_PER_MS);
            case DISK -> Math.round(weightsMb / DISK_MB_PER_MS);
            case REMOTE -> WeightStoreModel.fullSpeedMs(weightsMb);
        };
    }

    private void scheduleArrival(int next) {
        if (next >= trace.requests().size()) {
            return;
        }
        TraceRequest request = trace.requests().get(next);
        time.at(request.arrivedAtMs(), () -> {
            scheduleArrival(next + 1);
            measures.arrived(request, isReady(request.request().model()));
            entries.get(request.entry()).onArrival(request);
        });
    }

    private boolean isReady(ModelName model) {
        return holders(model).stream()
                .anyMatch(agent -> agent.up() && agent.replicas.get(model).ready());
    }

    void onReady(ModelName model) {
        measures.ready(model, time.nowMs());
    }

    private void scheduleFault() {
        long startMs = fault.startMs(trace);
        long endMs = fault.endMs(trace);
        switch (fault) {
            case NONE, SURGE -> {}
            case STORE_SLOW -> {
                time.at(startMs, () -> store.setSpeedFactor(SLOW_STORE_FACTOR));
                time.at(endMs, () -> store.setSpeedFactor(1));
            }
            case INSTANCE_RECLAIMED -> {
                time.at(startMs, () -> reclaim(startMs + INSTANCE_LIST_DELAY_MS));
                time.at(endMs, this::replaceReclaimed);
            }
            case TABLE_DOWN -> {
                time.at(startMs + INSTANCE_LIST_DELAY_MS, () -> reclaim(endMs));
                time.at(endMs, this::replaceReclaimed);
            }
            case AGENT_KILLED -> time.at(startMs, this::killLoadingAgent);
            case REPORTS_LATE -> {
                time.at(startMs, () -> reportLagMs = LATE_REPORT_LAG_MS);
                time.at(endMs, () -> reportLagMs = REPORT_LAG_MS);
            }
            case CACHE_EVENTS_LOST -> time.at(startMs, () -> dropPrefixes(endMs));
        }
    }

    private void reclaim(long movableAtMs) {
        AgentModel victim = agents.stream()
                .max(Comparator.comparingInt(AgentModel::committedMb))
                .orElseThrow();
        List<ReplicaModel> lost = victim.reclaim();
        time.after(HEARTBEAT_TIMEOUT_MS, () -> entries.forEach(entry -> entry.onLost(victim)));
        time.at(
                movableAtMs,
                () -> lost.forEach(replica -> {
                    holders(replica.name()).remove(victim);
                    assign(replica.model, replica.ordinal);
                }));
    }

    private void replaceReclaimed() {
        agents.stream().filter(agent -> !agent.up()).forEach(AgentModel::replace);
    }

    private void killLoadingAgent() {
        Optional<AgentModel> loading = agents.stream()
                .filter(agent -> agent.replicas.values().stream()
                        .anyMatch(replica -> replica.state == ReplicaModel.State.LOADING))
                .findFirst();
        if (loading.isPresent()) {
            loading.get().kill(AGENT_RESTART_MS);
            return;
        }
        time.after(200, this::killLoadingAgent);
    }

    private void dropPrefixes(long untilMs) {
        if (time.nowMs() >= untilMs) {
            return;
        }
        agents.forEach(agent -> agent.replicas.values().forEach(replica -> replica.prefixes.clear()));
        time.after(CACHE_LOSS_EVERY_MS, () -> dropPrefixes(untilMs));
    }

    void deliver(AgentModel agent, AgentReportModel report) {
        if (agent.up()) {
            entries.forEach(entry -> entry.onReport(agent, report));
        }
    }

    ReplicaLoadInput loadInput(ReplicaModel replica, Demand demand) {
        List<AgentModel> lower = new ArrayList<>();
        for (AgentModel agent : holders(replica.name())) {
            if (agent.replicas.get(replica.name()).ordinal < replica.ordinal) {
                lower.add(agent);
            }
        }
        return agents.get(0).loadInput(replica, demand, lower);
    }

    Trace trace() {
        return trace;
    }

    VirtualTime time() {
        return time;
    }

    long nowMs() {
        return time.nowMs();
    }

    long reportLagMs() {
        return reportLagMs;
    }

    PolicySet policies() {
        return policies;
    }

    Deployment deployment() {
        return trace.deployment();
    }

    Measures measures() {
        return measures;
    }

    WeightStoreModel store() {
        return store;
    }

    List<AgentModel> holders(ModelName model) {
        return holders.get(model);
    }

    AgentModel agent(InstanceId instance) {
        return byInstance.get(instance);
    }

    int slotsOf(ModelName model) {
        return models.get(model).spec().maxConcurrent();
    }
}
