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
import org.hawthornglade.core.time.Clock;
import org.hawthornglade.gateway.log.EventLog;
import org.hawthornglade.gateway.loop.Timers;
import org.hawthornglade.gateway.metrics.GatewayMetrics;

/**
 * Lets calls pass that are within the quotas of their teams.
 *
 * <p>A call for which this entry has no units waits for the leader's answer, but not longer than a round trip takes.
 */
public final class QuotaGate {
    /** A call is refused if the leader has not answered within this time. */
    static final long ANSWER_LIMIT_MS = 60;
    /** Retry-After if the leader has not answered. */
    private static final long NO_ANSWER_RETRY_AFTER_MS = 300;
    /** A team no longer exceeds its quota if no call of it was refused for this long. */
    private static final long WITHIN_AFTER_MS = 1_000;

    /** A call that waits for the leader's answer. */
    private record Waiting(
            TeamName team, double units, long sinceMs, Consumer<QuotaHold> onAdmitted, LongConsumer onRefused) {}

    private final QuotaClient client;
    private final Timers timers;
    private final Clock clock;
    private final EventLog log;
    private final GatewayMetrics metrics;
    private final Set<Waiting> waiting = new LinkedHashSet<>();
    private final Map<TeamName, Long> refusedAtMs = new HashMap<>();
    private Runnable asker = () -> {};
    private boolean asking;

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
     * Decides on a call, at once or after the leader's answer.
     *
     * @param units what the call counts as
     * @param onAdmitted receives what was taken
     * @param onRefused receives the time until the team has room, in milliseconds
     */
    void admit(TeamName team, double units, Consumer<QuotaHold> onAdmitted, LongConsumer onRefused) {
        long nowMs = clock.nowMs();
        QuotaDecision decision = client.decide(team, units, nowMs);
        Waiting call = new Waiting(team, units, nowMs, onAdmitted, onRefused);
        if (decision.kind() != QuotaDecision.Kind.ASK) {
            finish(call, decision);
            return;
        }
        waiting.add(call);
        askSoon();
        timers.after(ANSWER_LIMIT_MS, () -> onTimeout(call));
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

    private void onTimeout(Waiting call) {
        if (waiting.remove(call)) {
            finish(call, client.decideAgain(call.team(), call.units(), clock.nowMs()));
        }
    }

    /** Decides again on the calls that wait, after an answer of the leader. */
    public void onAnswer() {
        for (Waiting call : List.copyOf(waiting)) {
            QuotaDecision decision = client.decideAgain(call.team(), call.units(), clock.nowMs());
            if (decision.kind() != QuotaDecision.Kind.ASK && waiting.remove(call)) {
                finish(call, decision);
            }
        }
    }

    private void finish(Waiting call, QuotaDecision decision) {
        long units = (long) Math.ceil(call.units());
        if (decision.kind() == QuotaDecision.Kind.ADMIT) {
            metrics.addForTeam("quota_admitted_units", call.team(), units);
            call.onAdmitted().accept(new QuotaHold(() -> client.refund(call.team(), call.units(), clock.nowMs())));
            return;
        }
        boolean answered = decision.kind() == QuotaDecision.Kind.REFUSE;
        metrics.addForTeam("quota_refused_units", call.team(), units);
        if (refusedAtMs.put(call.team(), clock.nowMs()) == null) {
            write("quota-exceeded", call.team());
            timers.after(WITHIN_AFTER_MS, () -> checkWithin(call.team()));
        }
        call.onRefused().accept(answered ? decision.retryAfterMs() : NO_ANSWER_RETRY_AFTER_MS);
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
