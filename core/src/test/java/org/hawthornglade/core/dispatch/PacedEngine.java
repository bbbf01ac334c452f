package org.hawthornglade.core.dispatch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import org.hawthornglade.core.fleet.InstanceAddress;
import org.hawthornglade.core.fleet.InstancePlacement;
import org.hawthornglade.core.fleet.InstanceRecord;
import org.hawthornglade.core.fleet.Records;
import org.hawthornglade.core.fleet.ReplicaState;
import org.hawthornglade.core.fleet.ReplicaStatus;
import org.hawthornglade.core.id.FailureDomain;
import org.hawthornglade.core.id.InstanceId;
import org.hawthornglade.core.id.ModelName;
import org.hawthornglade.core.id.SoftwareVersion;

/** An engine of {@link PacedDeployment}, which reads prompts one after another and generates for all calls at once. */
final class PacedEngine {
    private static final double TOKENS_PER_MS = 38.1;
    private static final double DECODE_MS = 4.43;
    private static final int CACHED_PREFIXES = 30;

    private final PacedDeployment deployment;
    final InstanceId id;
    final FailureDomain domain;
    final double speed;
    final long noisePhaseMs;
    final Map<ModelName, Long> readyAtMs = new LinkedHashMap<>();
    final Set<String> cache = new LinkedHashSet<>();
    final List<PacedCall> running = new ArrayList<>();
    long startedAtMs = -60_000;
    long upAtMs;
    long bornMs = 1;
    int sequence;
    boolean listed = true;

    PacedEngine(PacedDeployment deployment, int index) {
        this.deployment = deployment;
        id = InstanceId.of("e" + index);
        domain = PacedDeployment.DOMAINS.get(index % PacedDeployment.DOMAINS.size());
        speed = 0.55 + 0.65 * deployment.site.nextDouble();
        noisePhaseMs = deployment.site.nextInt(4_000);
        if (deployment.day == PacedLoad.Day.COLD_START) {
            startedAtMs = 0;
        }
    }

    boolean up() {
        return deployment.nowMs() >= upAtMs;
    }

    /** Work takes 2.5 times as long for 600 ms of each 4 s, and twice as long at the start of a cold server. */
    private double speedNow() {
        double noise = (deployment.nowMs() + noisePhaseMs) % 4_000 < 600 ? 0.4 : 1;
        double cold = Math.min(1, 0.5 + (deployment.nowMs() - startedAtMs) / 8_000.0);
        return speed * noise * cold;
    }

    InstanceRecord record() {
        return new InstanceRecord(
                id,
                Records.SERVICE,
                SoftwareVersion.of("v1"),
                new InstanceAddress("10.0.0.1", 8_000),
                domain,
                PacedDeployment.SLOTS,
                false,
                OptionalLong.empty(),
                bornMs,
                ++sequence,
                Map.of(),
                Set.of(),
                Set.of());
    }

    InstancePlacement placement() {
        Map<ModelName, ReplicaState> states = new HashMap<>();
        readyAtMs.forEach((model, atMs) -> states.put(
                model,
                atMs <= deployment.nowMs()
                        ? new ReplicaState(ReplicaStatus.READY, 0, Map.of())
                        : new ReplicaState(ReplicaStatus.LOADING, atMs, Map.of())));
        return new InstancePlacement(id, bornMs, states);
    }

    private String prefixKey(PacedCall call) {
        return call.demand.variant() + "|" + call.demand.prefix().get(0).id();
    }

    void work() {
        double doneMs = PacedDeployment.STEP_MS * speedNow();
        double readMs = doneMs;
        double heldTokens = 0;
        int decoding = 0;
        int inSlots = 0;
        for (PacedCall call : running) {
            decoding += call.firstAtMs >= 0 ? 1 : 0;
        }
        double batch = 1 + decoding / 64.0;
        List<PacedCall> ended = new ArrayList<>();
        for (PacedCall call : running) {
            inSlots++;
            heldTokens += call.demand.kvTokens();
            boolean fits = heldTokens <= PacedDeployment.KV_TOKENS;
            if (inSlots > PacedDeployment.SLOTS || (!fits && !deployment.day.crashWhenFull && inSlots > 1)) {
                break;
            }
            if (!fits && deployment.day.crashWhenFull) {
                deployment.figures.crashes++;
                deployment.crash(this, 2_000);
                return;
            }
            double modelMs = PacedLoad.modelSpeed(call.demand.model());
            if (call.firstAtMs >= 0) {
                call.leftOutput -= doneMs * modelMs / (DECODE_MS * batch);
            } else if (readMs > 0) {
                readMs = read(call, readMs, modelMs / batch);
            }
            if (call.leftOutput <= 0 || call.view.deadlineAtMs() <= deployment.nowMs()) {
                ended.add(call);
            }
        }
        running.removeAll(ended);
        ended.forEach(call -> call.entry.onEnded(call));
    }

    /** Reads a part of a prompt; returns the time that is left. */
    private double read(PacedCall call, double availableMs, double factor) {
        if (call.leftPrefill < 0) {
            boolean cached = cache.remove(prefixKey(call));
            int shared = call.demand.prefix().get(0).tokens();
            call.leftPrefill = call.demand.promptTokens() - (cached ? shared : 0);
            deployment.figures.cachedTokens += cached ? shared : 0;
            deployment.figures.promptTokens += call.demand.promptTokens();
            cache.add(prefixKey(call));
            if (cache.size() > CACHED_PREFIXES) {
                cache.remove(cache.iterator().next());
            }
        }
        double neededMs = call.leftPrefill / (TOKENS_PER_MS * factor);
        if (neededMs > availableMs) {
            call.leftPrefill -= availableMs * TOKENS_PER_MS * factor;
            return 0;
        }
        call.leftPrefill = 0;
        call.firstAtMs = deployment.nowMs() + PacedDeployment.STEP_MS;
        call.entry.onFirst(call);
        return availableMs - neededMs;
    }
}
