package org.hawthornglade.core.agent;

import io.vavr.control.Either;
import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.Deque;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;
import org.hawthornglade.core.engine.EngineOrder;
import org.hawthornglade.core.engine.EngineReport;
import org.hawthornglade.core.id.FailureDomain;
import org.hawthornglade.core.placement.AssignmentRow;
import org.hawthornglade.core.result.Failure;
import org.hawthornglade.core.result.ResultCode;

/**
 * One agent process with a fake engine. Messages in both directions are delayed or lost, and held back while the
 * process is frozen.
 */
final class SimulatedAgent {
    private static final int MAX_DELAY_MS = 250;

    final FakeEngine engine;
    long frozenUntilMs;
    private final AgentDecider decider;
    private final FakeTable table;
    private final Random random;
    private FaultRates faults;
    private final Deque<EngineOrder> orders = new ArrayDeque<>();
    private final PriorityQueue<ScheduledAction> scheduled = new PriorityQueue<>(
            Comparator.comparingLong(ScheduledAction::atMs).thenComparingLong(ScheduledAction::sequence));
    private boolean orderInFlight;
    private boolean refusedAsStale;
    private long currentMs;
    private long lastReportTakenAtMs;
    private long lastReportDueAtMs;
    private long fencingNumber;
    private long scheduledCount;
    private long readSequence;

    /** Probabilities of faults, each from 0 to 1. */
    record FaultRates(double lostOrders, double delayedOrders, double lostTableReplies, double failedLoads) {}

    /** An action at a point in time; {@code delayedByFreeze} tells whether it waits while the process is frozen. */
    private record ScheduledAction(long atMs, long sequence, boolean delayedByFreeze, Runnable action) {}

    SimulatedAgent(FakeEngine engine, FakeTable table, Random random, FaultRates faults, long bootId) {
        this.engine = engine;
        this.table = table;
        this.random = random;
        this.faults = faults;
        AgentIdentity identity = new AgentIdentity(engine.id, FailureDomain.of("domain-a"), bootId, null);
        this.decider = new AgentDecider(identity, AgentPolicies.simple(3_000), AgentLimits.defaults());
    }

    /** Runs the actions that are due; those of the engine run also while the process is frozen. */
    void step(long nowMs) {
        Deque<ScheduledAction> kept = new ArrayDeque<>();
        while (!scheduled.isEmpty() && scheduled.peek().atMs() <= nowMs) {
            ScheduledAction due = scheduled.poll();
            if (due.delayedByFreeze() && nowMs < frozenUntilMs) {
                kept.add(due);
            } else {
                due.action().run();
            }
        }
        scheduled.addAll(kept);
        sendNext(nowMs);
    }

    boolean hasNewestFence() {
        return fencingNumber > 0 && table.fence(engine.id) == fencingNumber;
    }

    boolean isFrozen(long nowMs) {
        return nowMs < frozenUntilMs;
    }

    void deliver(AgentEvent event, long nowMs) {
        if (!(event instanceof AgentEvent.Tick
                || event instanceof AgentEvent.DemandReported
                || event instanceof AgentEvent.ConfigurationApplied)) {
            engine.trace(nowMs, "  in " + event);
        }
        decider.on(event, nowMs).forEach(command -> run(command, nowMs));
    }

    /** Delivers an event after a random delay; later events may overtake it. */
    void deliverLater(AgentEvent event, long nowMs) {
        schedule(nowMs + delayMs(), true, () -> deliver(event, Math.max(nowMs, currentMs)));
    }

    /** Ends all faults. */
    void stopFaults() {
        faults = new FaultRates(0, 0, 0, 0);
        frozenUntilMs = 0;
    }

    void tick(long nowMs) {
        currentMs = nowMs;
        if (!isFrozen(nowMs)) {
            deliver(new AgentEvent.Tick(), nowMs);
        }
    }

    void setNow(long nowMs) {
        currentMs = nowMs;
    }

    /** Delivers a lagging report. Reports arrive in the order in which they were taken, as one thread reads them. */
    void report(int stepsAgo, long nowMs) {
        EngineReport report = engine.report(stepsAgo);
        if (report.takenAtMs() <= lastReportTakenAtMs) {
            return;
        }
        lastReportTakenAtMs = report.takenAtMs();
        lastReportDueAtMs = Math.max(lastReportDueAtMs, nowMs + delayMs());
        schedule(lastReportDueAtMs, true, () -> deliver(new AgentEvent.EngineReported(report), currentMs));
    }

    void readTable(long nowMs) {
        if (fencingNumber == 0) {
            takeFence(nowMs);
            return;
        }
        if (table.fence(engine.id) == fencingNumber) {
            deliverLater(new AgentEvent.FenceChecked(nowMs), nowMs);
        } else {
            deliverLater(new AgentEvent.FenceLost(), nowMs);
        }
        if (random.nextDouble() >= faults.lostTableReplies()) {
            List<AssignmentRow> read = table.of(engine.id);
            deliverLater(new AgentEvent.AssignmentsRead(++readSequence, read), nowMs);
        }
    }

    private void takeFence(long nowMs) {
        if (fencingNumber > 0 && table.fence(engine.id) != fencingNumber) {
            deliverLater(new AgentEvent.FenceLost(), nowMs);
            return;
        }
        fencingNumber = table.takeFence(engine.id);
        deliverLater(new AgentEvent.FenceTaken(fencingNumber), nowMs);
    }

    private void run(AgentCommand command, long nowMs) {
        if (!(command instanceof AgentCommand.Publish || command instanceof AgentCommand.RecordEvent)) {
            engine.trace(nowMs, "out " + command);
        }
        if (command instanceof AgentCommand.SendOrder give) {
            if (refusedAsStale) {
                engine.violations.add("order after the fencing number was refused as stale: " + give.order());
            }
            orders.add(give.order());
        } else if (command instanceof AgentCommand.ReleaseRow release) {
            schedule(nowMs + delayMs(), true, () -> release(release.row()));
        } else if (command instanceof AgentCommand.CheckFence) {
            schedule(nowMs + delayMs(), true, () -> readTable(currentMs));
        } else if (command instanceof AgentCommand.RenewFence) {
            schedule(nowMs + delayMs(), true, () -> takeFence(currentMs));
        }
    }

    private void release(AssignmentRow row) {
        if (random.nextDouble() < faults.lostTableReplies()) {
            if (random.nextBoolean()) {
                table.release(row, fencingNumber);
            }
            deliverLater(new AgentEvent.RowNotReleased(row), currentMs);
            return;
        }
        boolean released = table.release(row, fencingNumber);
        deliverLater(released ? new AgentEvent.RowReleased(row) : new AgentEvent.RowNotReleased(row), currentMs);
    }

    private void sendNext(long nowMs) {
        if (orderInFlight || orders.isEmpty() || isFrozen(nowMs)) {
            return;
        }
        orderInFlight = true;
        EngineOrder order = orders.poll();
        long arrivesAtMs = nowMs + delayMs();
        if (random.nextDouble() >= faults.lostOrders()) {
            schedule(arrivesAtMs, false, () -> orderArrived(order, true));
            return;
        }
        engine.lostOrders = true;
        int kind = random.nextInt(3);
        if (kind == 0) {
            schedule(arrivesAtMs, false, () -> orderArrived(order, false));
        } else if (kind == 1 && random.nextDouble() < faults.delayedOrders()) {
            schedule(arrivesAtMs + random.nextInt(8_000), false, () -> orderArrived(order, false));
        }
        Failure unknown = Failure.of(ResultCode.PLATFORM_OUTCOME_UNKNOWN, "lost");
        schedule(arrivesAtMs + MAX_DELAY_MS, true, () -> answer(new AgentEvent.OrderFailed(order, unknown)));
    }

    private void orderArrived(EngineOrder order, boolean answered) {
        boolean failsToLoad = random.nextDouble() < faults.failedLoads();
        long bootId = engine.bootId();
        engine.trace(currentMs, "engine gets " + order);
        Either<Failure, Long> outcome = engine.order(order, currentMs, 200 + random.nextInt(1_500), failsToLoad);
        if (!answered) {
            return;
        }
        AgentEvent event = outcome.fold(
                failure -> new AgentEvent.OrderFailed(order, failure),
                sequence -> new AgentEvent.OrderTaken(order, sequence, bootId));
        schedule(currentMs + delayMs(), true, () -> answer(event));
    }

    private void answer(AgentEvent event) {
        orderInFlight = false;
        if (event instanceof AgentEvent.OrderFailed failed
                && failed.failure().code() == ResultCode.STALE_FENCING_NUMBER) {
            refusedAsStale = true;
        }
        deliver(event, currentMs);
    }

    private void schedule(long atMs, boolean held, Runnable action) {
        scheduled.add(new ScheduledAction(atMs, scheduledCount++, held, action));
    }

    private long delayMs() {
        return random.nextInt(MAX_DELAY_MS);
    }
}
