package org.hawthornglade.gateway.exchange;

import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.LongConsumer;
import org.hawthornglade.core.id.TeamName;
import org.hawthornglade.core.quota.QuotaClient;
import org.hawthornglade.core.quota.QuotaDecision;
import org.hawthornglade.core.quota.QuotaPatience;
import org.hawthornglade.core.time.Clock;
import org.hawthornglade.gateway.log.EventLog;
import org.hawthornglade.gateway.loop.Timers;
import org.hawthornglade.gateway.metrics.GatewayMetrics;

/**
 * Lets calls pass that are within the quotas of their teams.
 *
 * <p>A call for which this entry has no units waits for the leader's answer, but not longer than a round trip takes.
 * Where its caller is patient, it is held for longer: until the team has room soon, or until there is a leader again.
 */
public final class QuotaGate {
    /** A call is refused if the leader has not answered within this time. */
    static final long ANSWER_LIMIT_MS = 60;
    /** Retry-After if the leader has not answered. */
    private static final long NO_ANSWER_RETRY_AFTER_MS = 300;
    /** A call that is held is decided again in this interval. */
    private static final long HELD_CHECK_MS = 100;
    /** Limit for the calls that are held, which keep their bodies. */
    private static final int MAX_HELD = 500;
    /** A team no longer exceeds its quota if no call of it was refused for this long. */
    private static final long WITHIN_AFTER_MS = 1_000;

    /** A call that waits for the leader's answer, or is held. */
    private static final class Waiting {
        private final TeamName team;
        private final double units;
        private final QuotaPatience patience;
        private final long sinceMs;
        private final Consumer<QuotaHold> onAdmitted;
        private final LongConsumer onRefused;
        /** Whether the leader is asked, and until when its answer is expected. */
        private boolean asked;

        private long answerDueMs;

        Waiting(
                TeamName team,
                double units,
                QuotaPatience patience,
                long sinceMs,
                Consumer<QuotaHold> onAdmitted,
                LongConsumer onRefused) {
            this.team = team;
            this.units = units;
            this.patience = patience;
            this.sinceMs = sinceMs;
            this.onAdmitted = onAdmitted;
            this.onRefused = onRefused;
        }

        /** Takes over whether the leader is to be asked. */
        void onDecision(boolean asks, long limitMs, long nowMs) {
            answerDueMs = asks && !asked ? nowMs + limitMs : answerDueMs;
            asked = asks;
        }
    }

    private final QuotaClient client;
    private final Timers timers;
    private final Clock clock;
    private final EventLog log;
    private final GatewayMetrics metrics;
    private final Set<Waiting> waiting = new LinkedHashSet<>();
    private final Map<TeamName, Long> refusedAtMs = new HashMap<>();
    private Runnable asker = () -> {};
    private boolean asking;
    private boolean stopping;

    /** Creates a gate for the quotas of a client. */
    public QuotaGate(QuotaClient client, Timers timers, Clock clock, EventLog log, GatewayMetrics metrics) {
        this.client = client;
        this.timers = timers;
        this.clock = clock;
        this.log = log;
        this.metrics = metrics;
    }

    /** Sets the action that reports to the leader at once. */
    public void onAsk(Runnable action) {
        asker = action;
    }

    /**
     * Decides on a call, at once, after the leader's answer, or after it was held.
     *
     * @param units what the call counts as
     * @param patience how long it may be held
     * @param onAdmitted receives what was taken
     * @param onRefused receives the time until the team has room, in milliseconds
     */
    void admit(
            TeamName team,
            double units,
            QuotaPatience patience,
            Consumer<QuotaHold> onAdmitted,
            LongConsumer onRefused) {
        long nowMs = clock.nowMs();
        QuotaDecision decision = client.decide(team, units, nowMs);
        Waiting call = new Waiting(team, units, patience, nowMs, onAdmitted, onRefused);
        if (!mayWait(call, decision, ANSWER_LIMIT_MS)) {
            finish(call, decision);
            return;
        }
        waiting.add(call);
        if (call.asked) {
            askSoon();
            timers.after(ANSWER_LIMIT_MS, () -> check(call));
        } else {
            checkLater(call);
        }
    }

    /**
     * Returns whether a call may go on waiting after a decision.
     *
     * @param answerLimitMs how long the leader's answer may take if it is asked now
     */
    private boolean mayWait(Waiting call, QuotaDecision decision, long answerLimitMs) {
        if (decision.kind() == QuotaDecision.Kind.ADMIT) {
            return false;
        }
        long nowMs = clock.nowMs();
        call.onDecision(decision.kind() == QuotaDecision.Kind.ASK, answerLimitMs, nowMs);
        if (call.asked && nowMs < call.answerDueMs) {
            return true;
        }
        if (stopping || waiting.size() > MAX_HELD) {
            return false;
        }
        long waitedMs = nowMs - call.sinceMs;
        if (call.asked || client.leaderless(nowMs)) {
            return waitedMs < call.patience.leaderlessMs();
        }
        return waitedMs + decision.retryAfterMs() <= call.patience.shortMs();
    }

    private void checkLater(Waiting call) {
        timers.after(HELD_CHECK_MS, () -> check(call));
    }

    private void check(Waiting call) {
        if (!waiting.contains(call)) {
            return;
        }
        QuotaDecision decision = client.askAgain(call.team, call.units, clock.nowMs());
        if (decideWaiting(call, decision)) {
            checkLater(call);
        }
    }

    /** Returns whether the call goes on waiting. */
    private boolean decideWaiting(Waiting call, QuotaDecision decision) {
        if (mayWait(call, decision, HELD_CHECK_MS)) {
            return true;
        }
        waiting.remove(call);
        finish(call, decision);
        return false;
    }

    /** Refuses the calls that are held, and holds none from now on, because the entry stops. */
    public void refuseHeld() {
        stopping = true;
        for (Waiting call : List.copyOf(waiting)) {
            decideWaiting(call, client.decideAgain(call.team, call.units, clock.nowMs()));
        }
    }

    /** Asks once for all calls that arrive meanwhile. */
    private void askSoon() {
        if (asking) {
            return;
        }
        asking = true;
        timers.run(() -> {
            asking = false;
            asker.run();
        });
    }

    /** Decides again on the calls that wait, the oldest first, after an answer of the leader. */
    public void onAnswer() {
        for (Waiting call : List.copyOf(waiting)) {
            if (waiting.contains(call)) {
                decideWaiting(call, client.decideAgain(call.team, call.units, clock.nowMs()));
            }
        }
    }

    private void finish(Waiting call, QuotaDecision decision) {
        long units = (long) Math.ceil(call.units);
        if (decision.kind() == QuotaDecision.Kind.ADMIT) {
            metrics.addForTeam("quota_admitted_units", call.team, units);
            call.onAdmitted.accept(new QuotaHold(() -> client.refund(call.team, call.units, clock.nowMs())));
            return;
        }
        boolean answered = decision.kind() == QuotaDecision.Kind.REFUSE;
        metrics.addForTeam("quota_refused_units", call.team, units);
        if (refusedAtMs.put(call.team, clock.nowMs()) == null) {
            write("quota-exceeded", call.team);
            timers.after(WITHIN_AFTER_MS, () -> checkWithin(call.team));
        }
        call.onRefused.accept(answered ? decision.retryAfterMs() : NO_ANSWER_RETRY_AFTER_MS);
    }

    private void checkWithin(TeamName team) {
        long leftMs = refusedAtMs.get(team) + WITHIN_AFTER_MS - clock.nowMs();
        if (leftMs > 0) {
            timers.after(leftMs, () -> checkWithin(team));
            return;
        }
        refusedAtMs.remove(team);
        write("quota-kept", team);
    }

    private void write(String event, TeamName team) {
        long nowMs = clock.nowMs();
        log.event(event)
                .with("team", team)
                .with("limit_per_s", Math.round(client.limitPerS(team)))
                .with("demand_here_per_s", Math.round(client.demandPerS(team, nowMs)))
                .with("data_age_ms", client.answerAgeMs(nowMs))
                .with("entries", client.entries())
                .write();
    }
}
