package org.hawthornglade.bench.experiment;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.google.common.util.concurrent.Futures;
import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.function.Function;
import java.util.stream.LongStream;

/** Compares sets of policies over seeds and writes tables, JSON and plots. */
public final class Experiment {
    private static final int[] LOAD_TIMES = {1, 2, 4, 6, 10, 20, 40, 100, 200};
    private static final int SURGE_TIMES = 6;

    private final ExperimentOptions options;
    private final PrintWriter out;
    private final ExecutorService workers;

    private Experiment(ExperimentOptions options, PrintWriter out, ExecutorService workers) {
        this.options = options;
        this.out = out;
        this.workers = workers;
    }

    /**
     * Runs an experiment.
     *
     * @param options what to run
     * @param out the writer for the tables
     * @throws IOException if the JSON or a plot cannot be written
     */
    public static void run(ExperimentOptions options, PrintWriter out) throws IOException {
        ExecutorService workers = Executors.newFixedThreadPool(options.threads());
        try {
            Experiment experiment = new Experiment(options, out, workers);
            for (Deployment deployment : deployments(options.deployment())) {
                experiment.run(deployment);
            }
        } finally {
            workers.shutdownNow();
        }
    }

    private static List<Deployment> deployments(String name) {
        List<Deployment> all = List.of(Deployment.lagiHangat(), Deployment.calecheNdar());
        List<Deployment> chosen = all.stream()
                .filter(deployment -> name.equals("both") || name.equals(deployment.name()))
                .toList();
        if (chosen.isEmpty()) {
            throw new IllegalArgumentException("no such deployment: " + name);
        }
        return chosen;
    }

    private void run(Deployment deployment) throws IOException {
        out.printf("%n%s, %s, seeds %d to %d%n%n", deployment.name(), options.kind(), options.firstSeed(), lastSeed());
        switch (options.kind()) {
            case COMPARE -> compare(deployment);
            case ROUNDS -> write(deployment, runAll(deployment, variants(deployment)));
            case FAULTS -> faults(deployment);
            case OVERLOAD -> overload(deployment);
        }
        out.flush();
    }

    private long lastSeed() {
        return options.firstSeed() + options.seeds() - 1;
    }

    private List<PolicySet> variants(Deployment deployment) {
        return Policies.variants(deployment, baseline(deployment)).stream()
                .filter(set -> options.only().isEmpty() || options.only().contains(set.name()))
                .toList();
    }

    private PolicySet baseline(Deployment deployment) {
        if (options.keepAliveMinutes() > 0) {
            return Policies.baseline(options.keepAliveMinutes());
        }
        List<PolicySet> sets = Policies.baselines();
        List<Summary> summaries = runAll(deployment, sets);
        return sets.get(summaries.indexOf(cheapest(deployment, summaries)));
    }

    private static Summary cheapest(Deployment deployment, List<Summary> summaries) {
        double price = deployment.idle().coldSecondsPerIdleHour();
        return summaries.stream()
                .min(Comparator.comparingDouble(summary -> summary.median(run -> run.pricedCost(price))))
                .orElseThrow();
    }

    private void compare(Deployment deployment) throws IOException {
        List<PolicySet> sets = options.keepAliveMinutes() > 0
                ? List.of(Policies.baseline(options.keepAliveMinutes()))
                : Policies.baselines();
        List<Summary> summaries = new ArrayList<>(runAll(deployment, sets));
        Summary best = cheapest(deployment, summaries);
        Summary chosen = summarise(deployment, Policies.chosen(deployment), Fault.NONE);
        summaries.add(chosen);
        double price = deployment.idle().coldSecondsPerIdleHour();
        summaries.add(bound("oracle at price", deployment, trace -> OracleBound.atPrice(trace, price)));
        double idleHours = chosen.median(RunResult::idleAcceleratorHours);
        summaries.add(bound("oracle at idle h", deployment, trace -> OracleBound.atIdleHours(trace, idleHours)));
        double p99Ms = chosen.median(RunResult::coldP99Ms);
        summaries.add(bound("oracle at p99", deployment, trace -> OracleBound.atColdP99(trace, p99Ms)));
        write(deployment, summaries);
        out.printf("best baseline: %s%n", best.label());
        out.printf("chosen to best baseline, p99 cold wait: %.3f%n", ratio(chosen, best, RunResult::coldP99Ms));
        out.printf("chosen to best baseline, idle hours: %.3f%n", ratio(chosen, best, RunResult::idleAcceleratorHours));
        if (options.outputDirectory() != null) {
            Charts.waitOverIdleHours(summaries, deployment.name(), file(deployment, "png"));
        }
    }

    private static double ratio(Summary one, Summary other, java.util.function.ToDoubleFunction<RunResult> measure) {
        return one.median(measure) / other.median(measure);
    }

    private void faults(Deployment deployment) throws IOException {
        PolicySet baseline = baseline(deployment);
        List<Summary> summaries = new ArrayList<>();
        List<Pending> pending = new ArrayList<>();
        for (Fault fault : Fault.values()) {
            for (PolicySet set : List.of(baseline, Policies.chosen(deployment))) {
                pending.add(submit(set.name(), fault, seed -> runOne(deployment, set, fault, seed)));
            }
        }
        pending.forEach(runs -> summaries.add(runs.await()));
        write(deployment, summaries);
        for (int i = 0; i < summaries.size(); i += 2) {
            printFault(deployment, summaries.get(i), summaries.get(i + 1));
        }
    }

    // The same arrivals without the fault give the reference values.
    private void printFault(Deployment deployment, Summary before, Summary chosen) {
        Fault fault = chosen.fault();
        Summary normal = over(
                "normal",
                fault,
                seed -> VirtualRun.run(trace(deployment, seed), Policies.chosen(deployment), fault, Fault.NONE, 1));
        out.printf(
                "%s: on time during baseline %.4f chosen %.4f; after it baseline %.4f chosen %.4f, without it %.4f%n",
                fault,
                before.median(RunResult::onTimeDuring),
                chosen.median(RunResult::onTimeDuring),
                before.median(RunResult::onTimeAfter),
                chosen.median(RunResult::onTimeAfter),
                normal.median(RunResult::onTimeAfter));
    }

    private void overload(Deployment deployment) throws IOException {
        PolicySet baseline = baseline(deployment);
        List<Charts.LoadPoint> points = new ArrayList<>();
        for (int times : LOAD_TIMES) {
            for (PolicySet set : List.of(baseline, Policies.chosen(deployment))) {
                points.add(new Charts.LoadPoint(
                        times,
                        over(
                                set.name(),
                                Fault.SURGE,
                                seed -> VirtualRun.run(
                                        trace(deployment, seed), set, Fault.SURGE, Fault.SURGE, times))));
            }
        }
        write(deployment, points.stream().map(Charts.LoadPoint::summary).toList());
        for (Charts.LoadPoint point : points) {
            out.printf(
                    "times %d %s goodput/s %.3f%n",
                    point.times(), point.summary().label(), point.summary().median(RunResult::goodputPerSecond));
        }
        if (options.outputDirectory() != null) {
            Charts.overLoad(
                    points,
                    RunResult::goodputPerSecond,
                    deployment.name(),
                    "class weight answered on time a second",
                    file(deployment, "png"));
        }
    }

    private List<Summary> runAll(Deployment deployment, List<PolicySet> sets) {
        List<Pending> pending = sets.stream()
                .map(set -> submit(set.name(), Fault.NONE, seed -> runOne(deployment, set, Fault.NONE, seed)))
                .toList();
        return pending.stream().map(Pending::await).toList();
    }

    private Summary summarise(Deployment deployment, PolicySet set, Fault fault) {
        return over(set.name(), fault, seed -> runOne(deployment, set, fault, seed));
    }

    private static RunResult runOne(Deployment deployment, PolicySet set, Fault fault, long seed) {
        return VirtualRun.run(trace(deployment, seed), set, fault, fault, SURGE_TIMES);
    }

    private Summary bound(String label, Deployment deployment, Function<Trace, RunResult> bound) {
        return over(label, Fault.NONE, seed -> bound.apply(trace(deployment, seed)));
    }

    private static Trace trace(Deployment deployment, long seed) {
        return TraceGenerator.generate(deployment, seed);
    }

    private Summary over(String label, Fault fault, Function<Long, RunResult> run) {
        return submit(label, fault, run).await();
    }

    private Pending submit(String label, Fault fault, Function<Long, RunResult> run) {
        List<Future<RunResult>> futures = LongStream.rangeClosed(options.firstSeed(), lastSeed())
                .mapToObj(seed -> workers.submit(() -> run.apply(seed)))
                .toList();
        return new Pending(label, fault, futures);
    }

    /** Runs in progress. */
    private record Pending(String label, Fault fault, List<Future<RunResult>> futures) {
        Summary await() {
            List<RunResult> results = new ArrayList<>();
            for (Future<RunResult> future : futures) {
                results.add(Futures.getUnchecked(future));
            }
            return new Summary(label, fault, results);
        }
    }

    private void write(Deployment deployment, List<Summary> summaries) throws IOException {
        out.println(ResultTable.format(summaries));
        out.flush();
        if (options.outputDirectory() == null) {
            return;
        }
        Path file = file(deployment, "json");
        Files.createDirectories(file.toAbsolutePath().getParent());
        new ObjectMapper().enable(SerializationFeature.INDENT_OUTPUT).writeValue(file.toFile(), summaries);
    }

    private Path file(Deployment deployment, String suffix) {
        String name = deployment.name() + "-" + options.kind().name().toLowerCase(java.util.Locale.ROOT);
        return options.outputDirectory().resolve(name + "." + suffix);
    }
}
