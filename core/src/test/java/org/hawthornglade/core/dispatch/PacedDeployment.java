package org.hawthornglade.core.dispatch;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.hawthornglade.core.fleet.Endpoint;
import org.hawthornglade.core.fleet.InstancePlacement;
import org.hawthornglade.core.fleet.InstanceRecord;
import org.hawthornglade.core.fleet.PromptPart;
import org.hawthornglade.core.fleet.Records;
import org.hawthornglade.core.id.FailureDomain;
import org.hawthornglade.core.id.ModelName;
import org.hawthornglade.core.id.PromptPartId;
import org.hawthornglade.core.pace.PacingRules;
import org.hawthornglade.core.serving.EngineDefinition;
import org.hawthornglade.core.serving.ModelDefinition;

/**
 * Plays entries and engines of a deployment in virtual time, each entry with the selector of the product.
 *
 * <p>Engines read prompts one after another and generate for all calls together. They differ in speed, are disturbed
 * by other workloads, cache prefixes of prompts, load and unload models, and restart.
 */
final class PacedDeployment {
    static final int ENTRIES = 27;
    static final int ENGINES = 35;
    static final int SLOTS = 64;
    static final long KV_TOKENS = 234_408;
    /** Time after a start of an engine over which the calls are counted separately. */
    static final long FIRST_MS = 10_000;

    private static final int MODELS = 60;
    private static final int BUSY_MODELS = 12;
    private static final int RESIDENT = 3;
    static final int STEP_MS = 5;
    private static final long REPORT_MS = 300;
    /** Age of the counts of calls in a report of the leader. */
    private static final long REPORT_AGE_MS = 100;

    private static final long RECONSIDER_MS = 50;
    private static final long DISK_LOAD_MS = 800;
    private static final long LIST_DELAY_MS = 500;
    static final List<FailureDomain> DOMAINS =
            List.of(FailureDomain.of("zone-a"), FailureDomain.of("zone-b"), FailureDomain.of("zone-c"));

    final PacedLoad.Day day;
    final Random site;
    private final Random loads;
    final EngineDefinition definition;
    private final List<PacedEntry> entries = new ArrayList<>();
    final List<PacedEngine> engines = new ArrayList<>();
    final PacedFigures figures = new PacedFigures();
    private long nowMs;

    /** Creates a deployment whose calls and faults depend only on the day and the seed. */
    PacedDeployment(PacedLoad.Day day, PacingRules rules, long seed) {
        this.day = day;
        this.site = new Random(seed);
        this.loads = new Random(seed + 1);
        Map<ModelName, ModelDefinition> models = new LinkedHashMap<>();
        for (int i = 0; i < MODELS; i++) {
            models.put(
                    PacedLoad.model(i), new ModelDefinition(PacedLoad.model(i), 70_000, 10_200, 400, DISK_LOAD_MS, 50));
        }
        this.definition = new EngineDefinition(SLOTS, KV_TOKENS, 220_000, 8, 11, models);
        for (int i = 0; i < ENGINES; i++) {
            engines.add(new PacedEngine(this, i));
        }
        placeAtStart();
        Random entrySeeds = new Random(seed + 2);
        for (int i = 0; i < ENTRIES; i++) {
            entries.add(new PacedEntry(this, DOMAINS.get(i % DOMAINS.size()), rules, entrySeeds.nextLong()));
        }
    }

    private void placeAtStart() {
        int next = 0;
        for (int place = 0; place < ENGINES * RESIDENT; place++) {
            PacedEngine engine = engines.get(place % ENGINES);
            ModelName model = place < MODELS ? PacedLoad.model(place) : PacedLoad.model(next++ % BUSY_MODELS);
            engine.readyAtMs.put(model, 0L);
        }
    }

    /** Ends an engine, which is back after a time. */
    void crash(PacedEngine engine, long downMs) {
        engine.upAtMs = nowMs + downMs;
        engine.startedAtMs = engine.upAtMs;
        engine.cache.clear();
        engine.readyAtMs.replaceAll((model, atMs) -> Long.MAX_VALUE / 2);
        List<PacedCall> lost = new ArrayList<>(engine.running);
        engine.running.clear();
        lost.forEach(call -> call.entry.onLost(call));
    }

    long nowMs() {
        return nowMs;
    }

    private void updateList() {
        for (PacedEngine engine : engines) {
            if (engine.listed && !engine.up() && nowMs >= engine.startedAtMs - 2_000 + LIST_DELAY_MS) {
                engine.listed = false;
                entries.forEach(entry -> entry.fleet.onRemoved(engine.id, nowMs));
            }
            if (!engine.listed && engine.up()) {
                engine.listed = true;
                engine.bornMs = nowMs + 2;
                engine.readyAtMs.replaceAll((model, atMs) -> nowMs + DISK_LOAD_MS);
                InstanceRecord record = engine.record();
                entries.forEach(entry -> entry.fleet.onChanged(record, nowMs));
                publish(engine);
            }
        }
    }

    private void publish(PacedEngine engine) {
        InstancePlacement placement = engine.placement();
        entries.forEach(entry -> entry.fleet.onPlacement(placement));
    }

    private int replicas(ModelName model) {
        int count = 0;
        for (PacedEngine engine : engines) {
            count += engine.readyAtMs.containsKey(model) ? 1 : 0;
        }
        return count;
    }

    /** Replaces one model of an engine, or all of them, as a leader does that follows the demand. */
    private void changeModels(int engineIndex, boolean all, int firstModel) {
        PacedEngine engine = engines.get(engineIndex);
        if (!engine.up() || !engine.listed) {
            return;
        }
        List<ModelName> old = new ArrayList<>(engine.readyAtMs.keySet());
        for (int i = 0; i < (all ? RESIDENT : 1) && i < old.size(); i++) {
            ModelName newer = PacedLoad.model((firstModel + i) % MODELS);
            if (!engine.readyAtMs.containsKey(newer) && (all || replicas(old.get(i)) > 1)) {
                engine.readyAtMs.remove(old.get(i));
                engine.readyAtMs.put(newer, nowMs + DISK_LOAD_MS);
            }
        }
        publish(engine);
    }

    private void loadMissingModels() {
        Set<ModelName> wanted = new HashSet<>();
        entries.forEach(entry -> entry.waiting.forEach(call -> wanted.add(call.demand.model())));
        for (int i = 0; i < MODELS; i++) {
            if (wanted.contains(PacedLoad.model(i)) && replicas(PacedLoad.model(i)) == 0) {
                changeModels(loads.nextInt(ENGINES), false, i);
            }
        }
    }

    private boolean everyMs(long intervalMs) {
        return nowMs % intervalMs < STEP_MS;
    }

    private void disturb() {
        int engine = site.nextInt(ENGINES);
        boolean all = site.nextDouble() < 0.2;
        int model = site.nextInt(MODELS);
        if (everyMs(400)) {
            changeModels(engine, all, model);
        }
        if (day == PacedLoad.Day.RESTARTS
                && everyMs(2_500)
                && nowMs > 0
                && engines.get(engine).up()) {
            crash(engines.get(engine), 2_000);
        }
        if (day == PacedLoad.Day.RECOVERY && (nowMs == 5_000 || nowMs == 18_000)) {
            engines.stream()
                    .filter(each ->
                            each.id.value().endsWith("1") || each.id.value().endsWith("2"))
                    .forEach(each -> crash(each, 2_000));
        }
    }

    private double loadFactor() {
        boolean burst = nowMs % 10_000 >= 5_000 || day == PacedLoad.Day.COLD_START || day == PacedLoad.Day.RECOVERY;
        return burst ? day.burst : 1;
    }

    private void arrivals(double factor) {
        for (PacedLoad.Kind kind : PacedLoad.KINDS) {
            double expected = factor * kind.perS() * STEP_MS / 1_000;
            while (expected > 0) {
                if (site.nextDouble() < expected) {
                    arrive(kind);
                }
                expected -= 1;
            }
        }
    }

    private void arrive(PacedLoad.Kind kind) {
        boolean busy = kind.route().priority() != 2 && site.nextDouble() < 0.8;
        ModelName model = PacedLoad.model(busy ? site.nextInt(BUSY_MODELS) : site.nextInt(MODELS));
        String shared = kind.route().name() + site.nextInt(kind.prefixes());
        int entry = site.nextInt(ENTRIES);
        int number = figures.calls++;
        List<PromptPart> prefix = List.of(
                new PromptPart(PromptPartId.of(shared), kind.sharedTokens()),
                new PromptPart(PromptPartId.of("own" + number), kind.ownTokens()));
        ModelDemand demand = new ModelDemand(
                model, Optional.empty(), kind.sharedTokens() + kind.ownTokens(), kind.outputTokens(), prefix);
        CallView view = new CallView(
                Records.SERVICE,
                kind.route(),
                Optional.of(demand),
                nowMs,
                nowMs + kind.route().timeoutMs());
        boolean first = engines.stream()
                .anyMatch(engine ->
                        engine.up() && nowMs - engine.startedAtMs < FIRST_MS && engine.readyAtMs.containsKey(model));
        figures.firstCalls += first ? 1 : 0;
        figures.offeredByKind.merge(kind.route().name(), 1, Integer::sum);
        entries.get(entry).arrive(new PacedCall(this, kind, view, first));
    }

    private void report() {
        if ((nowMs + REPORT_AGE_MS) % REPORT_MS < STEP_MS) {
            entries.forEach(PacedEntry::sample);
        }
        if (!everyMs(REPORT_MS) || nowMs == 0) {
            return;
        }
        for (PacedEngine engine : engines) {
            if (!engine.listed) {
                continue;
            }
            publish(engine);
            int total = entries.stream()
                    .mapToInt(entry -> entry.sampled.getOrDefault(engine.id, 0))
                    .sum();
            for (PacedEntry entry : entries) {
                Endpoint endpoint = entry.fleet.endpoint(engine.id).orElseThrow();
                endpoint.load().updateOthers(total - entry.sampled.getOrDefault(engine.id, 0), nowMs);
                figures.limitSum += endpoint.pace().limit().calls();
                figures.limitCount++;
            }
        }
        loadMissingModels();
        entries.forEach(PacedEntry::decideWaiting);
    }

    /** Plays the deployment; a cold start begins with the calls of one second that have waited. */
    PacedDeployment play(long durationMs) {
        if (day == PacedLoad.Day.COLD_START) {
            arrivals(1_000 / (double) STEP_MS);
        }
        for (nowMs = 0; nowMs < durationMs; nowMs += STEP_MS) {
            updateList();
            disturb();
            report();
            arrivals(loadFactor());
            engines.stream().filter(PacedEngine::up).forEach(PacedEngine::work);
            if (everyMs(RECONSIDER_MS)) {
                entries.forEach(PacedEntry::decideWaiting);
            }
        }
        return this;
    }

    /** Returns what has been counted. */
    PacedFigures figures() {
        return figures;
    }
}
