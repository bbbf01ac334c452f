package org.hawthornglade.core.dispatch;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.TreeSet;
import org.hawthornglade.core.fleet.Endpoint;
import org.hawthornglade.core.fleet.Fleet;
import org.hawthornglade.core.fleet.Records;
import org.hawthornglade.core.id.FailureDomain;
import org.hawthornglade.core.id.InstanceId;
import org.hawthornglade.core.pace.Pacing;
import org.hawthornglade.core.pace.PacingRules;

/** An entry of {@link PacedDeployment}, with the selector of the product. */
final class PacedEntry {
    private static final double EVENT_START_MS = 5;

    private final PacedDeployment deployment;
    final Fleet fleet = new Fleet();
    final Pacing pacing;
    final FirstTokenSelector selector;
    final TreeSet<PacedCall> waiting = new TreeSet<>(Comparator.comparingInt((PacedCall call) -> call.view.priority())
            .thenComparingLong(call -> call.view.arrivedAtMs())
            .thenComparingInt(call -> call.number));
    final Map<InstanceId, Integer> sampled = new HashMap<>();

    PacedEntry(PacedDeployment deployment, FailureDomain domain, PacingRules rules, long seed) {
        this.deployment = deployment;
        pacing = new Pacing(rules, () -> PacedDeployment.ENTRIES, new Random(seed));
        selector = new FirstTokenSelector(domain, service -> deployment.definition, pacing);
        fleet.onSnapshot(deployment.engines.stream().map(PacedEngine::record).toList(), 0);
        deployment.engines.forEach(engine -> fleet.onPlacement(engine.placement()));
    }

    void arrive(PacedCall call) {
        call.entry = this;
        pacing.onCall(Records.SERVICE, call.demand.kvTokens());
        if (!decide(call)) {
            waiting.add(call);
        }
    }

    /** Returns whether the call does not wait any more. */
    private boolean decide(PacedCall call) {
        if (call.view.deadlineAtMs() <= deployment.nowMs()) {
            return true;
        }
        Decision decision = selector.select(call.view, fleet.usable(Records.SERVICE), deployment.nowMs());
        if (decision instanceof Decision.Send send) {
            send(call, send);
            return true;
        }
        if (decision instanceof Decision.Wait wait && wait.reason().equals("capacity")) {
            deployment.figures.heldBack += farBelowItsSlots(call) ? 1 : 0;
        }
        return decision instanceof Decision.Refuse;
    }

    private boolean farBelowItsSlots(PacedCall call) {
        return deployment.engines.stream()
                .anyMatch(engine -> engine.up()
                        && engine.running.size() < PacedDeployment.SLOTS / 8
                        && fleet.endpoint(engine.id)
                                .filter(endpoint ->
                                        endpoint.serves(call.demand.model(), Optional.empty(), deployment.nowMs()))
                                .isPresent());
    }

    private void send(PacedCall call, Decision.Send send) {
        Endpoint endpoint = send.endpoint();
        PacedEngine engine =
                deployment.engines.get(Integer.parseInt(endpoint.id().value().substring(1)));
        call.view.tried().add(endpoint.id());
        if (!engine.up()) {
            endpoint.health().onUnreachable(deployment.nowMs());
            endpoint.pace().restart();
            waiting.add(call);
            return;
        }
        call.engine = engine;
        call.sentAtMs = deployment.nowMs();
        call.prefillTokens = Math.max(0, call.demand.promptTokens() - send.cachedTokens());
        endpoint.load().begin(Optional.empty(), call.demand.kvTokens(), call.prefillTokens);
        call.inFlight = endpoint.load().requests(deployment.nowMs());
        call.own = endpoint.load().ownRequests();
        call.startMs = FirstTokenSelector.startMs(endpoint.load().ownPrefillTokens(), call.inFlight);
        endpoint.pace().onStarted();
        engine.running.add(call);
    }

    private Optional<Endpoint> endpoint(PacedCall call) {
        return fleet.endpoint(call.engine.id).filter(known -> known.record().bornMs() == call.engine.bornMs);
    }

    void onFirst(PacedCall call) {
        call.onFirst();
        endpoint(call).ifPresent(endpoint -> {
            endpoint.load().endPrefill(call.prefillTokens);
            endpoint.prefixCache().add(call.demand.variant(), call.demand.prefix());
            record(
                    endpoint,
                    call,
                    WorkKind.firstToken(call.view),
                    (double) (deployment.nowMs() - call.sentAtMs),
                    call.startMs);
        });
    }

    void onEnded(PacedCall call) {
        endpoint(call).ifPresent(endpoint -> {
            release(endpoint, call);
            if (call.firstAtMs >= 0 && call.leftOutput <= 0) {
                double intervalMs = (double) (deployment.nowMs() - call.firstAtMs) / call.kind.outputTokens();
                recordInterval(endpoint, call, intervalMs);
            }
        });
        decideWaiting();
    }

    private void record(Endpoint endpoint, PacedCall call, WorkKind kind, double measuredMs, double startMs) {
        double usualMs = startMs * pacing.usualTimes().factor(kind);
        pacing.usualTimes().onResponse(kind, measuredMs, startMs);
        endpoint.pace().onResponse(kind, measuredMs, usualMs, call.inFlight, call.own, deployment.nowMs());
    }

    private void recordInterval(Endpoint endpoint, PacedCall call, double intervalMs) {
        WorkKind kind = WorkKind.betweenEvents(call.view);
        double usualMs = EVENT_START_MS * pacing.usualTimes().factor(kind);
        endpoint.pace().onInterval(intervalMs, usualMs, deployment.nowMs());
        record(endpoint, call, kind, intervalMs, EVENT_START_MS);
    }

    private void release(Endpoint endpoint, PacedCall call) {
        endpoint.load().end(Optional.empty(), call.demand.kvTokens());
        if (call.firstAtMs < 0) {
            endpoint.load().endPrefill(call.prefillTokens);
        }
        endpoint.pace().onEnded();
    }

    void onLost(PacedCall call) {
        endpoint(call).ifPresent(endpoint -> {
            release(endpoint, call);
            endpoint.pace().restart();
        });
        call.firstAtMs = -1;
        call.leftPrefill = -1;
        if (!decide(call)) {
            waiting.add(call);
        }
    }

    void decideWaiting() {
        for (PacedCall call : new ArrayList<>(waiting)) {
            if (waiting.remove(call) && !decide(call)) {
                waiting.add(call);
            }
        }
    }

    void sample() {
        for (PacedEngine engine : deployment.engines) {
            int own = fleet.endpoint(engine.id)
                    .map(endpoint -> endpoint.load().ownRequests())
                    .orElse(0);
            sampled.put(engine.id, own);
        }
    }
}
