package org.hawthornglade.core.agent;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.hawthornglade.core.assignment.Assignment;
import org.hawthornglade.core.assignment.AssignmentState;
import org.hawthornglade.core.config.Configuration;
import org.hawthornglade.core.config.ModelSpec;
import org.hawthornglade.core.engine.EngineModel;
import org.hawthornglade.core.engine.EngineOrder;
import org.hawthornglade.core.engine.EngineReport;
import org.hawthornglade.core.engine.LoadState;
import org.hawthornglade.core.id.AttemptId;
import org.hawthornglade.core.id.FailureDomain;
import org.hawthornglade.core.id.InstanceId;
import org.hawthornglade.core.id.ModelName;
import org.hawthornglade.core.id.RequestId;
import org.hawthornglade.core.placement.AssignmentRow;
import org.hawthornglade.core.report.ModelDemand;
import org.hawthornglade.core.result.Failure;
import org.hawthornglade.core.result.ResultCode;

/** Drives the decider of one agent step by step and collects the commands that it issues. */
final class AgentSession {
    static final InstanceId INSTANCE = InstanceId.of("engine-1");
    static final int MEMORY_MB = 2_000;
    static final long BOOT_ID = 7;
    private static final long TICK_MS = 1_000;

    final AgentDecider decider;
    final List<AgentCommand> commands = new ArrayList<>();
    long nowMs = 1_000_000;
    long orderSequence;
    private long readSequence;
    private long demandSequence;

    AgentSession() {
        this(AgentLimits.defaults());
    }

    AgentSession(AgentLimits limits) {
        AgentIdentity identity = new AgentIdentity(INSTANCE, FailureDomain.of("domain-a"), 1, null);
        decider = new AgentDecider(identity, AgentPolicies.simple(60_000), limits);
    }

    /** Starts an agent that has raised its fencing number and has its configuration and rows. */
    static AgentSession ready(Configuration configuration, AssignmentRow... rows) {
        AgentSession session = new AgentSession();
        session.start(configuration, rows);
        return session;
    }

    void start(Configuration configuration, AssignmentRow... rows) {
        deliver(new AgentEvent.ConfigurationApplied(configuration));
        deliver(new AgentEvent.FenceTaken(1));
        deliver(new AgentEvent.FenceChecked(nowMs));
        readRows(rows);
        report();
        acceptOrders();
        report();
    }

    /** Delivers an event and returns the commands that it leads to. */
    List<AgentCommand> deliver(AgentEvent event) {
        List<AgentCommand> added = decider.on(event, nowMs);
        commands.addAll(added);
        return added;
    }

    List<AgentCommand> advance(long ms) {
        long endMs = nowMs + ms;
        while (nowMs + TICK_MS < endMs) {
            nowMs += TICK_MS;
            deliver(new AgentEvent.Tick());
        }
        nowMs = endMs;
        return deliver(new AgentEvent.Tick());
    }

    void readRows(AssignmentRow... rows) {
        deliver(new AgentEvent.AssignmentsRead(++readSequence, Arrays.asList(rows)));
    }

    void report(EngineModel... models) {
        reportOf(BOOT_ID, orderSequence, models);
    }

    void reportOf(long bootId, long sequence, EngineModel... models) {
        deliver(new AgentEvent.EngineReported(
                new EngineReport(nowMs, sequence, bootId, 1, MEMORY_MB, Arrays.asList(models), List.of())));
    }

    void reportDemand(String model, int queued, String... adapters) {
        reportDemand("entry-1", 1, ++demandSequence, model, queued, adapters);
    }

    void reportDemand(String entry, long bootId, long sequence, String model, int queued, String... adapters) {
        List<ModelName> names = Arrays.stream(adapters).map(ModelName::of).toList();
        ModelDemand demand = new ModelDemand(ModelName.of(model), queued, 0, queued, 0, 10_000, names, 0, sequence);
        deliver(new AgentEvent.DemandReported(entry, bootId, sequence, List.of(demand)));
    }

    AttemptRequest attempt(String id, String model) {
        return new AttemptRequest(
                AttemptId.of(id), RequestId.of("r-" + id), "entry-1", ModelName.of(model), null, nowMs + 10_000);
    }

    void attemptArrives(String id, String model) {
        deliver(new AgentEvent.AttemptArrived(attempt(id, model)));
    }

    /** Answers all orders sent since the last call as accepted. */
    void acceptOrders() {
        for (EngineOrder order : newOrders()) {
            deliver(new AgentEvent.OrderTaken(order, ++orderSequence, BOOT_ID));
        }
    }

    void failOrder(EngineOrder order, ResultCode code) {
        deliver(new AgentEvent.OrderFailed(order, Failure.of(code, "test")));
    }

    /** Returns and removes the orders sent since the last call of this method or {@link #acceptOrders}. */
    List<EngineOrder> newOrders() {
        List<EngineOrder> orders = commands.stream()
                .filter(AgentCommand.SendOrder.class::isInstance)
                .map(command -> ((AgentCommand.SendOrder) command).order())
                .toList();
        commands.removeIf(AgentCommand.SendOrder.class::isInstance);
        return orders;
    }

    /** Returns and removes the orders sent since the last call as text, such as {@code LOAD quote}. */
    List<String> orderTexts() {
        return newOrders().stream().map(AgentSession::text).toList();
    }

    static String text(EngineOrder order) {
        return order.kind() + (order.model() == null ? "" : " " + order.model());
    }

    /** Returns and removes the commands of one type issued so far. */
    <T extends AgentCommand> List<T> removeCommands(Class<T> type) {
        List<T> found =
                commands.stream().filter(type::isInstance).map(type::cast).toList();
        commands.removeIf(type::isInstance);
        return found;
    }

    static AssignmentRow row(String model, AssignmentState state, long revision) {
        return new AssignmentRow(new Assignment(ModelName.of(model), 0, INSTANCE, state, 1), revision);
    }

    static AssignmentRow held(String model, long revision) {
        return row(model, AssignmentState.HELD, revision);
    }

    static EngineModel engineModel(String model, LoadState state) {
        return engineModel(model, "1", null, state);
    }

    static EngineModel engineModel(String model, String version, String base, LoadState state) {
        int memoryMb = base == null ? 1_000 : 20;
        return new EngineModel(
                ModelName.of(model), version, base == null ? null : ModelName.of(base), state, memoryMb, 0);
    }

    static ModelSpec withVersion(ModelSpec spec, String version) {
        return new ModelSpec(
                spec.name(),
                version,
                spec.memoryMb(),
                spec.kvCacheMb(),
                spec.accelerators(),
                spec.maxReplicas(),
                spec.maxConcurrent(),
                spec.organisations(),
                spec.serviceClass());
    }
}
