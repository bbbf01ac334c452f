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
 * One run of agents, engines, the table and placement under random faults, in pairs and repeated; an observer who sees
 * the fakes' truth checks after every step what must always hold, and that the fleet works again after the last fault.
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
    private final FakeTable rows = new FakeTable();
    private final List<FakeEngine> engines = new ArrayList<>();
    private final List<SimulatedAgent> agents = new ArrayList<>();
    private List<AssignmentRow> staleRows = List.of();
    private Configuration configuration;
    private long nowMs = 1_000_000;
    private long version;
    private long demandSequence;
    private ModelName demandedModel;

    /** Runs a world of its own for a seed. */
    static void run(long seed, boolean checksNumbers) {
        new AgentSimulation(new Random(seed), checksNumbers).run();
    }

    private AgentSimulation(Random random, boolean checksNumbers) {
        this.random = random;
        this.checksFencing = checksNumbers;
        // An engine that forgets its number in a restart cannot refuse a process that wakes then: docs/decisions/0003.
        this.agentsOverlap = checksNumbers && random.nextBoolean();
    }

    private void run() {
        // An engine that ignores numbers cannot refuse an order that comes late: docs/decisions/0003.
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
        agents.forEach(run -> run.deliverLater(new AgentEvent.ConfigurationApplied(configuration), nowMs));
    }

    private SimulatedAgent startAgent(FakeEngine engine) {
        SimulatedAgent run = new SimulatedAgent(engine, rows, random, faults, nowMs);
        run.setNow(nowMs);
        run.deliver(new AgentEvent.ConfigurationApplied(configuration), nowMs);
        agents.add(run);
        return run;
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

    /** A new process starts beside an engine; the old one has died, or is frozen or slow to end. */
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
        for (SimulatedAgent run : List.copyOf(agents)) {
            run.setNow(nowMs);
            run.step(nowMs);
            checkInvariants();
            if (!run.isFrozen(nowMs)) {
                driveAgent(run);
            }
        }
        place();
        checkInvariants();
    }

    private void driveAgent(SimulatedAgent run) {
        run.tick(nowMs);
        if (chance(0.3)) {
            run.report(random.nextInt(6), nowMs);
        }
        if (chance(0.15)) {
            run.readTable(nowMs);
        }
        if (chance(0.2)) {
            run.deliverLater(demand(), nowMs);
        }
    }

    private AgentEvent demand() {
        List<ModelDemand> wanted = new ArrayList<>();
        for (String name : MODELS) {
            ModelName model = ModelName.of(name);
            boolean asked = demandedModel == null ? chance(0.4) : model.equals(demandedModel);
            if (asked) {
                wanted.add(new ModelDemand(model, 3, 0, 3, 0, 5_000, List.of(), 0, 1));
            }
        }
        return new AgentEvent.DemandReported("entry-1", 1, ++demandSequence, wanted);
    }

    /** Two entries place at random moments, one of them on rows that it has read some time ago. */
    private void place() {
        if (chance(0.05)) {
            staleRows = rows.all();
        }
        if (chance(0.1)) {
            List<AssignmentRow> seen = random.nextBoolean() ? rows.all() : staleRows;
            rows.apply(Placement.decide(configuration, instances(), seen).changes());
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
                                engine.id, model, rows.all(), String.join("\n", engine.trace))
                        .that(rows.allows(engine.id, model))
                        .isTrue();
            }
        }
        for (String name : MODELS) {
            assertThat(rows.count(ModelName.of(name))).isAtMost(MAX_REPLICAS);
        }
    }

    /** Without further faults, every first replica of a model that is asked for is loaded again. */
    private void recover() {
        demandedModel = ModelName.of(MODELS.get(random.nextInt(MODELS.size())));
        for (FakeEngine engine : engines) {
            agents.removeIf(run -> run.engine == engine && run != survivingAgent(engine));
        }
        agents.forEach(run -> run.stopFaults());
        for (int i = 0; i < RECOVERY_STEPS; i++) {
            step();
        }
        AssignmentRow first = rows.all().stream()
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

    /** Returns the process that has the newest fencing number; else the one started last. */
    private SimulatedAgent survivingAgent(FakeEngine engine) {
        List<SimulatedAgent> ofEngine =
                agents.stream().filter(run -> run.engine == engine).toList();
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
