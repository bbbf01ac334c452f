package org.hawthornglade.bench.emulator;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;
import java.util.Set;
import org.hawthornglade.core.dispatch.CallView;
import org.hawthornglade.core.dispatch.ModelDemand;
import org.hawthornglade.core.fleet.InstanceAddress;
import org.hawthornglade.core.fleet.InstanceRecord;
import org.hawthornglade.core.id.AdapterName;
import org.hawthornglade.core.id.FailureDomain;
import org.hawthornglade.core.id.InstanceId;
import org.hawthornglade.core.id.ModelName;
import org.hawthornglade.core.id.ServiceName;
import org.hawthornglade.core.id.SoftwareVersion;
import org.hawthornglade.core.serving.CallKind;
import org.hawthornglade.core.serving.EngineDefinition;
import org.hawthornglade.core.serving.ModelDefinition;
import org.hawthornglade.core.serving.Route;

/** Generates a site from a seed: engines with fixed sets of loaded models, a plain service, and the faults of both. */
final class EmulatedSite {
    static final FailureDomain LOCAL_DOMAIN = FailureDomain.of("zone-a");

    private static final ServiceName ENGINES = ServiceName.of("drafts");
    private static final ServiceName PLAIN = ServiceName.of("orders");
    private static final int PLAIN_ENDPOINTS = 4;
    private static final int PLAIN_SLOTS = 24;
    private static final int ENGINE_SLOTS = 64;
    private static final int HOLDERS = 3;
    private static final long TARGET_MS = 800;
    private static final long DEADLINE_MS = 5_000;
    /** The rates that limited endpoints advertise, in requests per second. */
    private static final double[] LIMITS_PER_S = {0, 0.25, 0.5, 1, 1, 1, 2, 4, 8};

    private static final long FIRST_FAULT_MS = 4_000;
    private static final int FAULT_SPREAD_MS = 6_000;
    private static final int MIN_LIMIT_MS = 12_000;
    private static final int LIMIT_SPREAD_MS = 15_000;
    private static final int PAUSE_MS = 4_000;

    private final Random random;
    private final List<ModelName> models = new ArrayList<>();
    private final List<EmulatedEndpoint> engines = new ArrayList<>();
    private final List<EmulatedEndpoint> plain = new ArrayList<>();

    EmulatedSite(EmulatorOptions options, Random random) {
        this.random = random;
        for (int i = 0; i < options.engines(); i++) {
            models.add(ModelName.of("m" + i));
        }
        for (int i = 0; i < options.engines(); i++) {
            engines.add(new EmulatedEndpoint(record("e-" + i, ENGINES, ENGINE_SLOTS, modelsOf(i)), random));
        }
        for (int i = 0; i < PLAIN_ENDPOINTS; i++) {
            plain.add(new EmulatedEndpoint(record("p-" + i, PLAIN, PLAIN_SLOTS, List.of()), random));
        }
        drawFaults();
    }

    /** Model i is loaded on the engines i, i - 1 and i - 2, the first model on one only. */
    private List<ModelName> modelsOf(int engine) {
        List<ModelName> loaded = new ArrayList<>();
        for (int i = 0; i < HOLDERS; i++) {
            int model = (engine + i) % models.size();
            if (model > 0 || i == 0) {
                loaded.add(models.get(model));
            }
        }
        return loaded;
    }

    private void drawFaults() {
        int limited = engines.size() / 3;
        for (int i = 0; i < limited; i++) {
            drawLimit(engines.get(i));
        }
        drawLimit(plain.get(0));
        engines.get(limited).setLeavingAt(FIRST_FAULT_MS + random.nextInt(FAULT_SPREAD_MS));
        drawPause(engines.get(limited + 1));
        drawPause(plain.get(1));
        if (random.nextBoolean()) {
            drawPause(engines.get(0));
        }
    }

    /** Adds a limit; one endpoint in three changes its limit once. */
    private void drawLimit(EmulatedEndpoint endpoint) {
        long fromMs = FIRST_FAULT_MS + random.nextInt(FAULT_SPREAD_MS);
        long toMs = fromMs + MIN_LIMIT_MS + random.nextInt(LIMIT_SPREAD_MS);
        if (random.nextInt(3) > 0) {
            endpoint.addLimit(new LimitPeriod(new Span(fromMs, toMs), drawLimitPerSecond()));
            return;
        }
        long changeMs = (fromMs + toMs) / 2;
        endpoint.addLimit(new LimitPeriod(new Span(fromMs, changeMs), drawLimitPerSecond()));
        endpoint.addLimit(new LimitPeriod(new Span(changeMs, toMs), drawLimitPerSecond()));
    }

    private double drawLimitPerSecond() {
        return LIMITS_PER_S[random.nextInt(LIMITS_PER_S.length)];
    }

    private void drawPause(EmulatedEndpoint endpoint) {
        long fromMs = FIRST_FAULT_MS + random.nextInt(FAULT_SPREAD_MS);
        endpoint.addPause(new Span(fromMs, fromMs + PAUSE_MS));
    }

    List<EmulatedEndpoint> endpoints() {
        List<EmulatedEndpoint> all = new ArrayList<>(engines);
        all.addAll(plain);
        return all;
    }

    List<InstanceRecord> records() {
        return endpoints().stream().map(EmulatedEndpoint::record).toList();
    }

    private static InstanceRecord record(String id, ServiceName service, int slots, List<ModelName> loaded) {
        Map<ModelName, Set<AdapterName>> models = new LinkedHashMap<>();
        loaded.forEach(model -> models.put(model, Set.of()));
        return new InstanceRecord(
                InstanceId.of(id),
                service,
                SoftwareVersion.of("v1"),
                new InstanceAddress("10.0.0.1", 8_000),
                LOCAL_DOMAIN,
                slots,
                false,
                OptionalLong.empty(),
                1,
                1,
                models,
                Set.of(),
                Set.of());
    }

    EngineDefinition engine() {
        Map<ModelName, ModelDefinition> definitions = new LinkedHashMap<>();
        models.forEach(model -> definitions.put(model, new ModelDefinition(model, 70_000, 6_000, 800, 800, 50)));
        return new EngineDefinition(ENGINE_SLOTS, 250_000, 230_000, 8, 2, definitions);
    }

    /** Generates a call: half of the calls request a model, the first models most often. */
    CallView call(long nowMs) {
        boolean generation = random.nextBoolean();
        int priority = random.nextInt(3);
        Route route = new Route(
                "r-" + priority,
                "h.example",
                "/r/",
                generation ? CallKind.STREAM : CallKind.UNSAFE,
                DEADLINE_MS,
                TARGET_MS,
                500,
                DEADLINE_MS,
                1,
                priority,
                false,
                List.of());
        ModelName model = models.get((int) (models.size() * Math.pow(random.nextDouble(), 2)));
        Optional<ModelDemand> demand = generation
                ? Optional.of(new ModelDemand(model, Optional.empty(), 1_000, 100, List.of()))
                : Optional.empty();
        return new CallView(generation ? ENGINES : PLAIN, route, demand, nowMs, nowMs + DEADLINE_MS);
    }

    /** Returns the endpoints that could serve a call if none had a fault. */
    List<InstanceId> candidates(CallView call) {
        return endpoints().stream()
                .map(EmulatedEndpoint::record)
                .filter(record -> record.service().equals(call.service()))
                .filter(record -> call.demand()
                        .map(demand -> record.models().containsKey(demand.model()))
                        .orElse(true))
                .map(InstanceRecord::id)
                .toList();
    }
}
