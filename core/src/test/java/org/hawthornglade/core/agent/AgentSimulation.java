package org.hawthornglade.core.agent;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.hawthornglade.core.agent.SimulatedAgent.FaultRates;
import org.hawthornglade.core.assignment.AssignmentState;
import org.hawthornglade.core.config.Configuration;
import org.hawthornglade.core.config.Configurations;
import org.hawthornglade.core.config.ModelSpec;
import org.hawthornglade.core.engine.LoadState;
import org.hawthornglade.core.id.FailureDomain;
import org.hawthornglade.core.id.InstanceId;
import org.hawthornglade.core.id.ModelName;
import org.hawthornglade.core.placement.AssignmentRow;
import org.hawthornglade.core.placement.Availability;
import org.hawthornglade.core.placement.Placement;
import org.hawthornglade.core.placement.PlacementInstance;
import org.hawthornglade.core.report.ModelDemand;

/**
 * Simulates agents, engines, the table service and placement under random faults, also several at once or repeated.
 * After every step the invariants are checked on the actual state of the fakes, and after the last fault the fleet must
 * recover.
 */
final class AgentSimulation {
    private static final int STEP_MS = 50;
    private static final int FAULTY_STEPS = 600;
    private static final int RECOVERY_STEPS = 1_200;
    private static final int MEMORY_MB = 2_000;
    private static final int MAX_REPLICAS = 2;
    private static final List<String> MODELS = List.of("quote", "draft", "notes");
    private static final int MAX_FREEZE_MS = 12_000;

    private final Random random;
    private final boolean checksFencing;
    private final boolean agentsOverlap;
    private FaultRates faults;
    private final FakeTable table = new FakeTable();
    private final List<FakeEngine> engines = new ArrayList<>();
    private final List<SimulatedAgent> agents = new ArrayList<>();
    private List<AssignmentRow> staleRows = List.of();
    private Configuration configuration;
    private long nowMs = 1_000_000;
    private long version;
    private long demandSequence;
    private ModelName demandedModel;

    /** Runs a new simulation with the given seed. */
    static void run(long seed, boolean checksFencing) {
        new AgentSimulation(new Random(seed), checksFencing).run();
    }

    private AgentSimulation(Random random, boolean checksFencing) {
        this.random = random;
        this.checksFencing = checksFencing;
        // An engine loses its number in a restart and cannot refuse a process that resumes then: docs/decisions/0003.
        this.agentsOverlap = checksFencing && random.nextBoolean();
    }

    private void run() {
        // An engine that ignores fencing numbers cannot refuse a delayed order: docs/decisions/0003.
        faults = new FaultRates(
                random.nextDouble() * 0.3,
                checksFencing ? random.nextDouble() : 0,
                random.nextDouble() * 0.4,
                random.nextDouble() * 0.3);
        configure();
        for (int i = 0; i < 3; i++) {
            engines.add(new FakeEngine(InstanceId.of("engine-" + i), MEMORY_MB, checksFencing));
            engines.get(i).step(nowMs);
            startAgent(engines.get(i));
        }
        for (int i = 0; i < FAULTY_STEPS; i++) {
            injectFaults();
            step();
        }
        recover();
    }

    private void configure() {
        version++;
        List<ModelSpec> models = new ArrayList<>();
        for (String name : MODELS) {
            ModelSpec spec = Configurations.model(name, 700 + 100 * MODELS.indexOf(name), 1 + random.nextInt(2));
            models.add(AgentSession.withVersion(spec, Integer.toString(1 + random.nextInt(2))));
        }
        configuration = Configurations.withModels(version, models);
        agents.forEach(agent -> agent.deliverLater(new AgentEvent.ConfigurationApplied(configuration), nowMs));
    }

    private SimulatedAgent startAgent(FakeEngine engine) {
        SimulatedAgent agent = new SimulatedAgent(engine, table, random, faults, nowMs);
        agent.setNow(nowMs);
        agent.deliver(new AgentEvent.ConfigurationApplied(configuration), nowMs);
        agents.add(agent);
        return agent;
    }

    private void injectFaults() {
        if (chance(0.01)) {
            configure();
        }
        if (!agentsOverlap && chance(0.01)) {
            pick(engines).restart();
        }
        if (chance(0.02)) {
            pick(agents).frozenUntilMs = nowMs + random.nextInt(MAX_FREEZE_MS);
        }
        if (chance(0.01)) {
            replaceAgent();
        }
    }

    /** Starts a new process for an engine whose old process has died, or is frozen or slow to exit. */
    private void replaceAgent() {
        SimulatedAgent old = pick(agents);
        if (!agentsOverlap || random.nextBoolean()) {
            agents.remove(old);
        } else {
            old.frozenUntilMs = nowMs + random.nextInt(MAX_FREEZE_MS);
        }
        startAgent(old.engine);
    }

    private void step() {
        nowMs += STEP_MS;
        engines.forEach(engine -> engine.step(nowMs));
        for (SimulatedAgent agent : List.copyOf(agents)) {
            agent.setNow(nowMs);
            agent.step(nowMs);
            checkInvariants();
            if (!agent.isFrozen(nowMs)) {
                driveAgent(agent);
            }
        }
        place();
        checkInvariants();
    }

    private void driveAgent(SimulatedAgent agent) {
        agent.tick(nowMs);
        if (chance(0.3)) {
            agent.report(random.nextInt(6), nowMs);
        }
        if (chance(0.15)) {
            agent.readTable(nowMs);
        }
        if (chance(0.2)) {
            agent.deliverLater(demand(), nowMs);
        }
    }

    private AgentEvent demand() {
        List<ModelDemand> demands = new ArrayList<>();
        for (String name : MODELS) {
            ModelName model = ModelName.of(name);
            boolean inDemand = demandedModel == null ? chance(0.4) : model.equals(demandedModel);
            if (inDemand) {
                demands.add(new ModelDemand(model, 3, 0, 3, 0, 5_000, List.of(), 0, 1));
            }
        }
        return new AgentEvent.DemandReported("entry-1", 1, ++demandSequence, demands);
    }

    /** Two entries run placement at random times, one of them on rows that it read some time ago. */
    private void place() {
        if (chance(0.05)) {
            staleRows = table.all();
        }
        if (chance(0.1)) {
            List<AssignmentRow> seen = random.nextBoolean() ? table.all() : staleRows;
            table.apply(Placement.decide(configuration, instances(), seen).changes());
        }
    }

    private List<PlacementInstance> instances() {
        List<PlacementInstance> instances = new ArrayList<>();
        for (FakeEngine engine : engines) {
            Availability availability = demandedModel != null || chance(0.8)
                    ? Availability.AVAILABLE
                    : chance(0.5) ? Availability.LEAVING : Availability.SILENT;
            instances.add(new PlacementInstance(
                    engine.id, FailureDomain.of("domain-" + engine.id), MEMORY_MB, 8, availability));
        }
        return instances;
    }

    private void checkInvariants() {
        for (FakeEngine engine : engines) {
            assertWithMessage(String.join("\n", engine.trace))
                    .that(engine.violations)
                    .isEmpty();
            assertThat(engine.usedMb()).isAtMost(engine.memoryMb);
            for (ModelName model : engine.held.keySet()) {
                assertWithMessage(
                                "%s holds %s without a row in %s\n%s",
                                engine.id, model, table.all(), String.join("\n", engine.trace))
                        .that(table.allows(engine.id, model))
                        .isTrue();
            }
        }
        for (String name : MODELS) {
            assertThat(table.count(ModelName.of(name))).isAtMost(MAX_REPLICAS);
        }
    }

    /** Checks that the first replica of the model in demand is loaded again once there are no further faults. */
    private void recover() {
        demandedModel = ModelName.of(MODELS.get(random.nextInt(MODELS.size())));
        for (FakeEngine engine : engines) {
            agents.removeIf(agent -> agent.engine == engine && agent != survivingAgent(engine));
        }
        agents.forEach(agent -> agent.stopFaults());
        for (int i = 0; i < RECOVERY_STEPS; i++) {
            step();
        }
        AssignmentRow first = table.all().stream()
                .filter(row -> row.assignment().model().equals(demandedModel)
                        && row.assignment().ordinal() == 0
                        && row.assignment().state() == AssignmentState.HELD)
                .findFirst()
                .orElseThrow();
        FakeEngine holder = engines.stream()
                .filter(engine -> engine.id.equals(first.assignment().instance()))
                .findFirst()
                .orElseThrow();
        assertThat(holder.held).containsKey(demandedModel);
        assertThat(holder.held.get(demandedModel).state).isEqualTo(LoadState.READY);
    }

    /** Returns the process with the newest fencing number, or the one started last if none has it. */
    private SimulatedAgent survivingAgent(FakeEngine engine) {
        List<SimulatedAgent> ofEngine =
                agents.stream().filter(agent -> agent.engine == engine).toList();
        return ofEngine.stream()
                .filter(SimulatedAgent::hasNewestFence)
                .findFirst()
                .orElseGet(() -> ofEngine.get(ofEngine.size() - 1));
    }

    private boolean chance(double probability) {
        return random.nextDouble() < probability;
    }

    private <T> T pick(List<T> list) {
        return list.get(random.nextInt(list.size()));
    }
}
