package org.hawthornglade.app;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.io.PrintStream;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.hawthornglade.bench.experiment.Experiment;
import org.hawthornglade.bench.experiment.ExperimentOptions;

/** Compares decision policies on seeded traces in virtual time. */
@Parameters(commandDescription = "Compares decision policies on seeded traces in virtual time")
final class ExperimentCommand implements Command {
    @Parameter(names = "--kind", description = "COMPARE, ROUNDS, FAULTS or OVERLOAD")
    private ExperimentOptions.Kind kind = ExperimentOptions.Kind.COMPARE;

    @Parameter(names = "--deployment", description = "lagi-hangat, caleche-ndar or both")
    private String deployment = "both";

    @Parameter(names = "--first-seed", description = "First seed of the traces")
    private long firstSeed = 1;

    @Parameter(names = "--seeds", description = "Number of seeds")
    private int seeds = 10;

    @Parameter(
            names = "--keep-alive-minutes",
            description = "Keep-alive of the baseline; 0 searches for the best one on the same seeds")
    private int keepAliveMinutes = 0;

    @Parameter(names = "--threads", description = "Number of concurrent runs")
    private int threads = 4;

    @Parameter(names = "--output", description = "Directory for JSON and plots; none if not given")
    private String output;

    @Parameter(names = "--only", description = "Names of the variants to run in ROUNDS; all if not given")
    private List<String> only = new ArrayList<>();

    @Override
    public String name() {
        return "experiment";
    }

    @Override
    public ExitCode run(PrintStream out) throws Exception {
        ExperimentOptions options = new ExperimentOptions(
                kind,
                deployment,
                firstSeed,
                seeds,
                keepAliveMinutes,
                threads,
                output == null ? null : Path.of(output),
                only);
        Experiment.run(options, new PrintWriter(out, true, StandardCharsets.UTF_8));
        return ExitCode.OK;
    }
}
