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
 * One agent process beside a fake engine: what it sends and receives is delayed, lost or held up while it is
 * frozen.
 */
final class AgentRun {
    private static final int MAX_DELAY_MS = 250;

    final FakeEngine engine;
    long frozenUntilMs;
    private final AgentDecider decider;
    private final FakeRows rows;
    private final Random random;
    private FaultRates faults;
    private final Deque<EngineOrder> orders = new ArrayDeque<>();
    private final PriorityQueue<Timed> timed =
            new PriorityQueue<>(Comparator.comparingLong(Timed::atMs).thenComparingLong(Timed::number));
    private boolean orderInFlight;
    private boolean toldStale;
    private long currentMs;
    private long lastReportTakenAtMs;
    private long lastReportDueAtMs;
    private long number;
    private long timedCount;
    private long readSequence;

    /** How often faults happen, each from 0 to 1. */
    record FaultRates(double lostOrder, double lateOrder, double lostTableReply, double brokenLoad) {}

    /** Something that happens at a time; {@code held} says whether a frozen process holds it up. */
    private record Timed(long atMs, long number, boolean held, Runnable action) {}

    AgentRun(FakeEngine engine, FakeRows rows, Random random, FaultRates faults, long bootId) {
        this.engine = engine;
        this.rows = rows;
        this.random = random;
        this.faults = faults;
        AgentIdentity identity = new AgentIdentity(engine.id, FailureDomain.of("domain-a"), bootId, null);
        this.decider = new AgentDecider(identity, AgentPolicies.simple(3_000), AgentLimits.defaults());
    }

    /** Delivers what is due, the engine's part also while the process is frozen. */
    void step(long nowMs) {
        Deque<Timed> kept = new ArrayDeque<>();
        while (!timed.isEmpty() && timed.peek().atMs() <= nowMs) {
            Timed due = timed.poll();
            if (due.held() && nowMs < frozenUntilMs) {
                kept.add(due);
            } else {
                due.action().run();
            }
        }
        timed.addAll(kept);
        sendNext(nowMs);
    }

    boolean hasNewestNumber() {
        return number > 0 && rows.fence(engine.id) == number;
    }

    boolean isFrozen(long nowMs) {
        return nowMs < frozenUntilMs;
    }

    void give(AgentEvent event, long nowMs) {
        if (!(event instanceof AgentEvent.Tick
                || event instanceof AgentEvent.DemandReported
                || event instanceof AgentEvent.ConfigurationApplied)) {
            engine.note(nowMs, "  in " + event);
        }
        decider.on(event, nowMs).forEach(command -> run(command, nowMs));
    }

    /** Gives an event after a while; others may overtake it. */
    void giveLater(AgentEvent event, long nowMs) {
        later(nowMs + delayMs(), true, () -> give(event, Math.max(nowMs, currentMs)));
    }

    /** Ends all faults. */
    void heal() {
        faults = new FaultRates(0, 0, 0, 0);
        frozenUntilMs = 0;
    }

    void tick(long nowMs) {
        currentMs = nowMs;
        if (!isFrozen(nowMs)) {
            give(new AgentEvent.Tick(), nowMs);
        }
    }

    void setNow(long nowMs) {
        currentMs = nowMs;
    }

    /** Passes on a report that lags; reports come in the order in which they were taken, as one thread reads them. */
    void report(int stepsAgo, long nowMs) {
        EngineReport report = engine.report(stepsAgo);
        if (report.takenAtMs() <= lastReportTakenAtMs) {
            return;
        }
        lastReportTakenAtMs = report.takenAtMs();
        lastReportDueAtMs = Math.max(lastReportDueAtMs, nowMs + delayMs());
        later(lastReportDueAtMs, true, () -> give(new AgentEvent.EngineReported(report), currentMs));
    }

    void readTable(long nowMs) {
        if (number == 0) {
            takeFence(nowMs);
            return;
        }
        if (rows.fence(engine.id) == number) {
            giveLater(new AgentEvent.FenceChecked(nowMs), nowMs);
        } else {
            giveLater(new AgentEvent.FenceLost(), nowMs);
        }
        if (random.nextDouble() >= faults.lostTableReply()) {
            List<AssignmentRow> read = rows.of(engine.id);
            giveLater(new AgentEvent.AssignmentsRead(++readSequence, read), nowMs);
        }
    }

    private void takeFence(long nowMs) {
        if (number > 0 && rows.fence(engine.id) != number) {
            giveLater(new AgentEvent.FenceLost(), nowMs);
            return;
        }
        number = rows.takeFence(engine.id);
        giveLater(new AgentEvent.FenceTaken(number), nowMs);
    }

    private void run(AgentCommand command, long nowMs) {
        if (!(command instanceof AgentCommand.Publish || command instanceof AgentCommand.RecordEvent)) {
            engine.note(nowMs, "out " + command);
        }
        if (command instanceof AgentCommand.GiveOrder give) {
            if (toldStale) {
                engine.violations.add("order after a refusal of the number: " + give.order());
            }
            orders.add(give.order());
        } else if (command instanceof AgentCommand.ReleaseRow release) {
            later(nowMs + delayMs(), true, () -> release(release.row()));
        } else if (command instanceof AgentCommand.CheckFence) {
            later(nowMs + delayMs(), true, () -> readTable(currentMs));
        } else if (command instanceof AgentCommand.RenewFence) {
            later(nowMs + delayMs(), true, () -> takeFence(currentMs));
        }
    }

    private void release(AssignmentRow row) {
        if (random.nextDouble() < faults.lostTableReply()) {
            if (random.nextBoolean()) {
                rows.release(row, number);
            }
            giveLater(new AgentEvent.RowNotReleased(row), currentMs);
            return;
        }
        boolean released = rows.release(row, number);
        giveLater(released ? new AgentEvent.RowReleased(row) : new AgentEvent.RowNotReleased(row), currentMs);
    }

    private void sendNext(long nowMs) {
        if (orderInFlight || orders.isEmpty() || isFrozen(nowMs)) {
            return;
        }
        orderInFlight = true;
        EngineOrder order = orders.poll();
        long arrivesAtMs = nowMs + delayMs();
        if (random.nextDouble() >= faults.lostOrder()) {
            later(arrivesAtMs, false, () -> arrive(order, true));
            return;
        }
        engine.lostOrders = true;
        int kind = random.nextInt(3);
        if (kind == 0) {
            later(arrivesAtMs, false, () -> arrive(order, false));
        } else if (kind == 1 && random.nextDouble() < faults.lateOrder()) {
            later(arrivesAtMs + random.nextInt(8_000), false, () -> arrive(order, false));
        }
        Failure unknown = Failure.of(ResultCode.PLATFORM_OUTCOME_UNKNOWN, "lost");
        later(arrivesAtMs + MAX_DELAY_MS, true, () -> answer(new AgentEvent.OrderFailed(order, unknown)));
    }

    private void arrive(EngineOrder order, boolean answered) {
        boolean breaks = random.nextDouble() < faults.brokenLoad();
        long bootId = engine.bootId();
        engine.note(currentMs, "engine gets " + order);
        Either<Failure, Long> outcome = engine.order(order, currentMs, 200 + random.nextInt(1_500), breaks);
        if (!answered) {
            return;
        }
        AgentEvent event = outcome.fold(
                failure -> new AgentEvent.OrderFailed(order, failure),
                sequence -> new AgentEvent.OrderTaken(order, sequence, bootId));
        later(currentMs + delayMs(), true, () -> answer(event));
    }

    private void answer(AgentEvent event) {
        orderInFlight = false;
        if (event instanceof AgentEvent.OrderFailed failed
                && failed.failure().code() == ResultCode.STALE_FENCING_NUMBER) {
            toldStale = true;
        }
        give(event, currentMs);
    }

    private void later(long atMs, boolean held, Runnable action) {
        timed.add(new Timed(atMs, timedCount++, held, action));
    }

    private long delayMs() {
        return random.nextInt(MAX_DELAY_MS);
    }
}
