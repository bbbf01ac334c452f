package org.hawthornglade.core.dispatch;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;
import java.util.Set;
import java.util.TreeSet;
import org.hawthornglade.core.fleet.Endpoint;
import org.hawthornglade.core.fleet.Fleet;
import org.hawthornglade.core.fleet.InstanceAddress;
import org.hawthornglade.core.fleet.InstancePlacement;
import org.hawthornglade.core.fleet.InstanceRecord;
import org.hawthornglade.core.fleet.PromptPart;
import org.hawthornglade.core.fleet.Records;
import org.hawthornglade.core.fleet.ReplicaState;
import org.hawthornglade.core.fleet.ReplicaStatus;
import org.hawthornglade.core.id.FailureDomain;
import org.hawthornglade.core.id.InstanceId;
import org.hawthornglade.core.id.ModelName;
import org.hawthornglade.core.id.PromptPartId;
import org.hawthornglade.core.id.SoftwareVersion;
import org.hawthornglade.core.pace.Pacing;
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
    private static final int STEP_MS = 5;
    private static final long REPORT_MS = 300;
    /** Age of the counts of calls in a report of the leader. */
    private static final long REPORT_AGE_MS = 100;

    private static final long RECONSIDER_MS = 50;
    private static final long DISK_LOAD_MS = 800;
    private static final long LIST_DELAY_MS = 500;
    private static final double TOKENS_PER_MS = 38.1;
    private static final double DECODE_MS = 4.43;
    private static final int CACHED_PREFIXES = 30;
    private static final double EVENT_START_MS = 5;
    private static final List<FailureDomain> DOMAINS =
            List.of(FailureDomain.of("zone-a"), FailureDomain.of("zone-b"), FailureDomain.of("zone-c"));

    private final PacedLoad.Day day;
    private final Random site;
    private final Random loads;
    private final EngineDefinition definition;
    private final List<Entry> entries = new ArrayList<>();
    private final List<Engine> engines = new ArrayList<>();
    private final PacedFigures figures = new PacedFigures();
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
            engines.add(new Engine(i));
        }
        placeAtStart();
        Random entrySeeds = new Random(seed + 2);
        for (int i = 0; i < ENTRIES; i++) {
            entries.add(new Entry(DOMAINS.get(i % DOMAINS.size()), rules, entrySeeds.nextLong()));
        }
    }

    private void placeAtStart() {
        int next = 0;
        for (int place = 0; place < ENGINES * RESIDENT; place++) {
            Engine engine = engines.get(place % ENGINES);
            ModelName model = place < MODELS ? PacedLoad.model(place) : PacedLoad.model(next++ % BUSY_MODELS);
            engine.readyAtMs.put(model, 0L);
        }
    }

    private final class Call {
        private final PacedLoad.Kind kind;
        private final CallView view;
        private final ModelDemand demand;
        private final boolean first;
        private final int number = figures.calls;
        private Engine engine;
        private Entry entry;
        private long sentAtMs;
        private long firstAtMs = -1;
        private int inFlight;
        private int own;
        private double startMs;
        private int prefillTokens;
        private double leftPrefill = -1;
        private double leftOutput;
        private boolean counted;

        Call(PacedLoad.Kind kind, CallView view, boolean first) {
            this.kind = kind;
            this.view = view;
            this.demand = view.demand().orElseThrow();
            this.first = first;
            this.leftOutput = kind.outputTokens();
        }

        private void onFirst() {
            if (counted) {
                return;
            }
            counted = true;
            if (nowMs - view.arrivedAtMs() <= kind.route().targetMs()) {
                figures.inTime++;
                figures.firstInTime += first ? 1 : 0;
                figures.inTimeByKind.merge(kind.route().name(), 1, Integer::sum);
            }
        }
    }

    private final class Engine {
        private final InstanceId id;
        private final FailureDomain domain;
        private final double speed;
        private final long noisePhaseMs;
        private final Map<ModelName, Long> readyAtMs = new LinkedHashMap<>();
        private final Set<String> cache = new LinkedHashSet<>();
        private final List<Call> running = new ArrayList<>();
        private long startedAtMs = -60_000;
        private long upAtMs;
        private long bornMs = 1;
        private int sequence;
        private boolean listed = true;

        Engine(int index) {
            id = InstanceId.of("e" + index);
            domain = DOMAINS.get(index % DOMAINS.size());
            speed = 0.55 + 0.65 * site.nextDouble();
            noisePhaseMs = site.nextInt(4_000);
            if (day == PacedLoad.Day.COLD_START) {
                startedAtMs = 0;
            }
        }

        boolean up() {
            return nowMs >= upAtMs;
        }

        /** Work takes 2.5 times as long for 600 ms of each 4 s, and twice as long at the start of a cold server. */
        private double speedNow() {
            double noise = (nowMs + noisePhaseMs) % 4_000 < 600 ? 0.4 : 1;
            double cold = Math.min(1, 0.5 + (nowMs - startedAtMs) / 8_000.0);
            return speed * noise * cold;
        }

        InstanceRecord record() {
            return new InstanceRecord(
                    id,
                    Records.SERVICE,
                    SoftwareVersion.of("v1"),
                    new InstanceAddress("10.0.0.1", 8_000),
                    domain,
                    SLOTS,
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
                    atMs <= nowMs
                            ? new ReplicaState(ReplicaStatus.READY, 0, Map.of())
                            : new ReplicaState(ReplicaStatus.LOADING, atMs, Map.of())));
            return new InstancePlacement(id, bornMs, states);
        }

        private String prefixKey(Call call) {
            return call.demand.variant() + "|" + call.demand.prefix().get(0).id();
        }

        void work() {
            double doneMs = STEP_MS * speedNow();
            double readMs = doneMs;
            double heldTokens = 0;
            int decoding = 0;
            int inSlots = 0;
            for (Call call : running) {
                decoding += call.firstAtMs >= 0 ? 1 : 0;
            }
            double batch = 1 + decoding / 64.0;
            List<Call> ended = new ArrayList<>();
            for (Call call : running) {
                inSlots++;
                heldTokens += call.demand.kvTokens();
                boolean fits = heldTokens <= KV_TOKENS;
                if (inSlots > SLOTS || (!fits && !day.crashWhenFull && inSlots > 1)) {
                    break;
                }
                if (!fits && day.crashWhenFull) {
                    figures.crashes++;
                    crash(this, 2_000);
                    return;
                }
                double modelMs = PacedLoad.modelSpeed(call.demand.model());
                if (call.firstAtMs >= 0) {
                    call.leftOutput -= doneMs * modelMs / (DECODE_MS * batch);
                } else if (readMs > 0) {
                    readMs = read(call, readMs, modelMs / batch);
                }
                if (call.leftOutput <= 0 || call.view.deadlineAtMs() <= nowMs) {
                    ended.add(call);
                }
            }
            running.removeAll(ended);
            ended.forEach(call -> call.entry.onEnded(call));
        }

        /** Reads a part of a prompt; returns the time that is left. */
        private double read(Call call, double availableMs, double factor) {
            if (call.leftPrefill < 0) {
                boolean cached = cache.remove(prefixKey(call));
                int shared = call.demand.prefix().get(0).tokens();
                call.leftPrefill = call.demand.promptTokens() - (cached ? shared : 0);
                figures.cachedTokens += cached ? shared : 0;
                figures.promptTokens += call.demand.promptTokens();
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
            call.firstAtMs = nowMs + STEP_MS;
            call.entry.onFirst(call);
            return availableMs - neededMs;
        }
    }

    private final class Entry {
        private final Fleet fleet = new Fleet();
        private final Pacing pacing;
        private final FirstTokenSelector selector;
        private final TreeSet<Call> waiting = new TreeSet<>(Comparator.comparingInt((Call call) -> call.view.priority())
                .thenComparingLong(call -> call.view.arrivedAtMs())
                .thenComparingInt(call -> call.number));
        private final Map<InstanceId, Integer> sampled = new HashMap<>();

        Entry(FailureDomain domain, PacingRules rules, long seed) {
            pacing = new Pacing(rules, () -> ENTRIES, new Random(seed));
            selector = new FirstTokenSelector(domain, service -> definition, pacing);
            fleet.onSnapshot(engines.stream().map(Engine::record).toList(), 0);
            engines.forEach(engine -> fleet.onPlacement(engine.placement()));
        }

        void arrive(Call call) {
            call.entry = this;
            pacing.onCall(Records.SERVICE, call.demand.kvTokens());
            if (!decide(call)) {
                waiting.add(call);
            }
        }

        /** Returns whether the call does not wait any more. */
        private boolean decide(Call call) {
            if (call.view.deadlineAtMs() <= nowMs) {
                return true;
            }
            Decision decision = selector.select(call.view, fleet.usable(Records.SERVICE), nowMs);
            if (decision instanceof Decision.Send send) {
                send(call, send);
                return true;
            }
            if (decision instanceof Decision.Wait wait && wait.reason().equals("capacity")) {
                figures.heldBack += farBelowItsSlots(call) ? 1 : 0;
            }
            return decision instanceof Decision.Refuse;
        }

        private boolean farBelowItsSlots(Call call) {
            return engines.stream()
                    .anyMatch(engine -> engine.up()
                            && engine.running.size() < SLOTS / 8
                            && fleet.endpoint(engine.id)
                                    .filter(endpoint -> endpoint.serves(call.demand.model(), Optional.empty(), nowMs))
                                    .isPresent());
        }

        private void send(Call call, Decision.Send send) {
            Endpoint endpoint = send.endpoint();
            Engine engine = engines.get(Integer.parseInt(endpoint.id().value().substring(1)));
            call.view.tried().add(endpoint.id());
            if (!engine.up()) {
                endpoint.health().onUnreachable(nowMs);
                endpoint.pace().restart();
                waiting.add(call);
                return;
            }
            call.engine = engine;
            call.sentAtMs = nowMs;
            call.prefillTokens = Math.max(0, call.demand.promptTokens() - send.cachedTokens());
            endpoint.load().begin(Optional.empty(), call.demand.kvTokens(), call.prefillTokens);
            call.inFlight = endpoint.load().requests(nowMs);
            call.own = endpoint.load().ownRequests();
            call.startMs = FirstTokenSelector.startMs(endpoint.load().ownPrefillTokens(), call.inFlight);
            endpoint.pace().onStarted();
            engine.running.add(call);
        }

        private Optional<Endpoint> endpoint(Call call) {
            return fleet.endpoint(call.engine.id).filter(known -> known.record().bornMs() == call.engine.bornMs);
        }

        void onFirst(Call call) {
            call.onFirst();
            endpoint(call).ifPresent(endpoint -> {
                endpoint.load().endPrefill(call.prefillTokens);
                endpoint.prefixCache().add(call.demand.variant(), call.demand.prefix());
                record(endpoint, call, WorkKind.firstToken(call.view), (double) (nowMs - call.sentAtMs), call.startMs);
            });
        }

        void onEnded(Call call) {
            endpoint(call).ifPresent(endpoint -> {
                release(endpoint, call);
                if (call.firstAtMs >= 0 && call.leftOutput <= 0) {
                    double intervalMs = (double) (nowMs - call.firstAtMs) / call.kind.outputTokens();
                    recordInterval(endpoint, call, intervalMs);
                }
            });
            decideWaiting();
        }

        private void record(Endpoint endpoint, Call call, WorkKind kind, double measuredMs, double startMs) {
            double usualMs = startMs * pacing.usualTimes().factor(kind);
            pacing.usualTimes().onResponse(kind, measuredMs, startMs);
            endpoint.pace().onResponse(kind, measuredMs, usualMs, call.inFlight, call.own, nowMs);
        }

        private void recordInterval(Endpoint endpoint, Call call, double intervalMs) {
            WorkKind kind = WorkKind.betweenEvents(call.view);
            double usualMs = EVENT_START_MS * pacing.usualTimes().factor(kind);
            endpoint.pace().onInterval(intervalMs, usualMs, nowMs);
            record(endpoint, call, kind, intervalMs, EVENT_START_MS);
        }

        private void release(Endpoint endpoint, Call call) {
            endpoint.load().end(Optional.empty(), call.demand.kvTokens());
            if (call.firstAtMs < 0) {
                endpoint.load().endPrefill(call.prefillTokens);
            }
            endpoint.pace().onEnded();
        }

        void onLost(Call call) {
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
            for (Call call : new ArrayList<>(waiting)) {
                if (waiting.remove(call) && !decide(call)) {
                    waiting.add(call);
                }
            }
        }

        void sample() {
            for (Engine engine : engines) {
                int own = fleet.endpoint(engine.id)
                        .map(endpoint -> endpoint.load().ownRequests())
                        .orElse(0);
                sampled.put(engine.id, own);
            }
        }
    }

    private void crash(Engine engine, long downMs) {
        engine.upAtMs = nowMs + downMs;
        engine.startedAtMs = engine.upAtMs;
        engine.cache.clear();
        engine.readyAtMs.replaceAll((model, atMs) -> Long.MAX_VALUE / 2);
        List<Call> lost = new ArrayList<>(engine.running);
        engine.running.clear();
        lost.forEach(call -> call.entry.onLost(call));
    }

    private void updateList() {
        for (Engine engine : engines) {
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

    private void publish(Engine engine) {
        InstancePlacement placement = engine.placement();
        entries.forEach(entry -> entry.fleet.onPlacement(placement));
    }

    private int replicas(ModelName model) {
        int count = 0;
        for (Engine engine : engines) {
            count += engine.readyAtMs.containsKey(model) ? 1 : 0;
        }
        return count;
    }

    /** Replaces one model of an engine, or all of them, as a leader does that follows the demand. */
    private void changeModels(int engineIndex, boolean all, int firstModel) {
        Engine engine = engines.get(engineIndex);
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
        entries.get(entry).arrive(new Call(kind, view, first));
    }

    private void report() {
        if ((nowMs + REPORT_AGE_MS) % REPORT_MS < STEP_MS) {
            entries.forEach(Entry::sample);
        }
        if (!everyMs(REPORT_MS) || nowMs == 0) {
            return;
        }
        for (Engine engine : engines) {
            if (!engine.listed) {
                continue;
            }
            publish(engine);
            int total = entries.stream()
                    .mapToInt(entry -> entry.sampled.getOrDefault(engine.id, 0))
                    .sum();
            for (Entry entry : entries) {
                Endpoint endpoint = entry.fleet.endpoint(engine.id).orElseThrow();
                endpoint.load().updateOthers(total - entry.sampled.getOrDefault(engine.id, 0), nowMs);
                figures.limitSum += endpoint.pace().limit().calls();
                figures.limitCount++;
            }
        }
        loadMissingModels();
        entries.forEach(Entry::decideWaiting);
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
            engines.stream().filter(Engine::up).forEach(Engine::work);
            if (everyMs(RECONSIDER_MS)) {
                entries.forEach(Entry::decideWaiting);
            }
        }
        return this;
    }

    /** Returns what has been counted. */
    PacedFigures figures() {
        return figures;
    }
}
