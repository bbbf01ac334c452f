package org.hawthornglade.bench.experiment;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.SplittableRandom;
import org.hawthornglade.core.admission.WaitingRequest;
import org.hawthornglade.core.config.ClassSpec;
import org.hawthornglade.core.config.ModelSpec;
import org.hawthornglade.core.engine.CheckpointTier;
import org.hawthornglade.core.id.ModelName;
import org.hawthornglade.core.id.OrganisationId;
import org.hawthornglade.core.id.RequestId;

/** Generates traces from a seed: a few busy models, the others active regularly or irregularly in bursts. */
final class TraceGenerator {
    static final int ACCELERATOR_MB = 81_920;
    private static final long HOUR_MS = 3_600_000;
    private static final long MINUTE_MS = 60_000;
    private static final long LEARN_MS = 12 * HOUR_MS;
    private static final long END_MS = 36 * HOUR_MS;
    private static final double BUSY_SHARE = 0.1;
    private static final double REGULAR_SHARE = 0.45;
    private static final double JITTER = 0.03;
    private static final double SHORT_GAP_SHARE = 0.4;
    private static final long COMMON_WAKE_INTERVAL_MS = 6 * HOUR_MS;
    private static final double COMMON_WAKE_SHARE = 0.3;
    private static final int PREFIXES = 4;
    private static final int MAX_CONCURRENT = 8;
    private static final double NO_LOCAL_WEIGHTS_SHARE = 0.35;
    private static final double DISK_ONLY_SHARE = 0.75;

    private final Deployment deployment;
    private final SplittableRandom random;
    private final List<TraceRequest> requests = new ArrayList<>();
    private int nextId;

    private TraceGenerator(Deployment deployment, long seed) {
        this.deployment = deployment;
        this.random = new SplittableRandom(seed);
    }

    /** Generates the trace of a seed. */
    static Trace generate(Deployment deployment, long seed) {
        TraceGenerator generator = new TraceGenerator(deployment, seed);
        List<ModelProfile> models = new ArrayList<>();
        for (int i = 0; i < deployment.models(); i++) {
            models.add(generator.model(i));
        }
        models.forEach(generator::activity);
        generator.commonWakes(models);
        generator.requests.sort(Comparator.comparingLong(TraceRequest::arrivedAtMs)
                .thenComparing(request -> request.request().id().value()));
        return new Trace(deployment, seed, models, List.copyOf(generator.requests), LEARN_MS, END_MS);
    }

    /** Returns a trace with a surge: in a time window each request arrives the given number of times. */
    static Trace withSurge(Trace trace, long fromMs, long toMs, int times) {
        SplittableRandom random = new SplittableRandom(trace.seed() + 1);
        List<TraceRequest> all = new ArrayList<>(trace.requests());
        for (TraceRequest request : trace.requests()) {
            if (request.arrivedAtMs() < fromMs || request.arrivedAtMs() >= toMs) {
                continue;
            }
            for (int repetition = 1; repetition < times; repetition++) {
                all.add(repeat(
                        request,
                        repetition,
                        random.nextLong(10_000),
                        random.nextInt(trace.deployment().entries())));
            }
        }
        all.sort(Comparator.comparingLong(TraceRequest::arrivedAtMs)
                .thenComparing(request -> request.request().id().value()));
        return new Trace(trace.deployment(), trace.seed(), trace.models(), all, trace.measureFromMs(), trace.endMs());
    }

    private static TraceRequest repeat(TraceRequest original, int repetition, long delayMs, int entry) {
        WaitingRequest request = original.request();
        WaitingRequest later = new WaitingRequest(
                RequestId.of(request.id().value() + "-" + repetition),
                request.model(),
                request.adapter(),
                request.serviceClass(),
                request.organisation(),
                request.arrivedAtMs() + delayMs,
                request.deadlineAtMs() + delayMs);
        return new TraceRequest(later, entry, original.serviceMs(), original.prefixHash());
    }

    private ModelProfile model(int index) {
        int accelerators = random.nextDouble() < 0.7 ? 1 : 2;
        int weightsMb = (int) (accelerators * ACCELERATOR_MB * (0.2 + 0.55 * random.nextDouble()));
        boolean busy = index < BUSY_SHARE * deployment.models();
        int replicas = busy || random.nextDouble() < 0.4 ? 2 : 1;
        ModelSpec spec = new ModelSpec(
                ModelName.of("model-%02d".formatted(index)),
                "1",
                weightsMb,
                accelerators * ACCELERATOR_MB - weightsMb,
                accelerators,
                replicas,
                MAX_CONCURRENT,
                List.of(),
                deployment.classes().get(0).name());
        List<ModelName> adapters = new ArrayList<>();
        for (int i = index; i < deployment.adapters(); i += deployment.models()) {
            adapters.add(ModelName.of("adapter-%03d".formatted(i)));
        }
        return new ModelProfile(spec, tiers(), adapters);
    }

    // A third of the models has no local weights on any server; the others are on the disks of up to three servers,
    // some also in the memory of one.
    private List<CheckpointTier> tiers() {
        List<CheckpointTier> tiers = new ArrayList<>();
        for (int i = 0; i < deployment.servers(); i++) {
            tiers.add(CheckpointTier.REMOTE);
        }
        double kind = random.nextDouble();
        if (kind < NO_LOCAL_WEIGHTS_SHARE) {
            return tiers;
        }
        for (int i = 0; i < 3; i++) {
            tiers.set(random.nextInt(tiers.size()), CheckpointTier.DISK);
        }
        if (kind > DISK_ONLY_SHARE) {
            tiers.set(random.nextInt(tiers.size()), CheckpointTier.MEMORY);
        }
        return tiers;
    }

    private void activity(ModelProfile model) {
        int index = Integer.parseInt(model.name().value().substring("model-".length()));
        if (index < BUSY_SHARE * deployment.models()) {
            steady(model, 0, END_MS, 8_000 + 12_000 * random.nextDouble());
            return;
        }
        boolean regular = random.nextDouble() < REGULAR_SHARE;
        double periodMs = MINUTE_MS * (20 + 220 * random.nextDouble() * random.nextDouble());
        double atMs = random.nextDouble() * 2 * HOUR_MS;
        while (atMs < END_MS) {
            session(model, (long) atMs);
            atMs += regular ? periodMs * (1 + JITTER * gaussian()) : irregularGapMs();
        }
    }

    private double irregularGapMs() {
        boolean shortGap = random.nextDouble() < SHORT_GAP_SHARE;
        return MINUTE_MS + exponential((shortGap ? 10.0 : 180.0) * MINUTE_MS);
    }

    private void commonWakes(List<ModelProfile> models) {
        for (long atMs = COMMON_WAKE_INTERVAL_MS / 2; atMs < END_MS; atMs += COMMON_WAKE_INTERVAL_MS) {
            for (ModelProfile model : models) {
                if (random.nextDouble() < COMMON_WAKE_SHARE) {
                    session(model, atMs + random.nextLong(20_000));
                }
            }
        }
    }

    private void session(ModelProfile model, long startMs) {
        int burst = 3 + (int) exponential(10);
        for (int i = 0; i < burst; i++) {
            add(model, startMs + random.nextLong(2_000));
        }
        steady(model, startMs, startMs + (long) exponential(3.0 * MINUTE_MS), 12_000);
    }

    private void steady(ModelProfile model, long fromMs, long toMs, double meanGapMs) {
        double atMs = fromMs + exponential(meanGapMs);
        while (atMs < Math.min(toMs, END_MS)) {
            add(model, (long) atMs);
            atMs += exponential(meanGapMs);
        }
    }

    private void add(ModelProfile model, long atMs) {
        if (atMs >= END_MS) {
            return;
        }
        ClassSpec spec =
                deployment.classes().get(random.nextInt(deployment.classes().size()));
        boolean adapted = !model.adapters().isEmpty() && random.nextDouble() < 0.5;
        ModelName adapter =
                adapted ? model.adapters().get(random.nextInt(model.adapters().size())) : null;
        WaitingRequest request = new WaitingRequest(
                RequestId.of("r%07d".formatted(nextId++)),
                model.name(),
                adapter,
                spec.name(),
                OrganisationId.of("organisation-" + random.nextInt(deployment.organisations())),
                atMs,
                atMs + spec.defaultDeadlineMs());
        long serviceMs = (long) Math.min(30_000, 6_000 * Math.exp(0.5 * gaussian()));
        requests.add(new TraceRequest(
                request, random.nextInt(deployment.entries()), serviceMs, 1 + random.nextInt(PREFIXES)));
    }

    private double exponential(double mean) {
        return -mean * Math.log(1 - random.nextDouble());
    }

    private double gaussian() {
        return random.nextGaussian();
    }
}
