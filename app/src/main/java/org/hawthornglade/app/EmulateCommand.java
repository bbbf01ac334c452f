package org.hawthornglade.app;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.io.PrintStream;
import org.hawthornglade.bench.emulator.Emulator;
import org.hawthornglade.bench.emulator.EmulatorOptions;
import org.hawthornglade.bench.emulator.EmulatorSummary;

/** Simulates endpoints that advertise rate limits, set retry-after pauses or leave, and checks the entries' calls. */
@Parameters(
        commandDescription =
                "Simulates endpoints that limit, pause or leave, in virtual time, and checks the entries' calls")
final class EmulateCommand implements Command {
    private static final int MAX_ENTRIES = 1_000;

    @Parameter(names = "--first-seed", description = "First seed")
    private long firstSeed = 1;

    @Parameter(names = "--seeds", description = "Number of seeds")
    private int seeds = 20;

    @Parameter(names = "--entries", description = "Number of entries, 1 to 1000")
    private int entries = 4;

    @Parameter(names = "--seconds", description = "Seconds in which calls arrive in each run, 10 to 600")
    private int seconds = 30;

    @Parameter(names = "--calm", description = "Runs without restarts and pauses of entries")
    private boolean calm = false;

    @Override
    public String name() {
        return "emulate";
    }

    @Override
    public ExitCode run(PrintStream out) {
        if (seeds < 1 || entries < 1 || entries > MAX_ENTRIES || seconds < 10 || seconds > 600) {
            out.println("--seeds is at least 1, --entries from 1 to 1000, --seconds from 10 to 600");
            return ExitCode.USAGE;
        }
        EmulatorSummary summary = new EmulatorSummary();
        for (long seed = firstSeed; seed < firstSeed + seeds; seed++) {
            EmulatorOptions options = new EmulatorOptions(seed, entries, seconds, !calm);
            summary.add(Emulator.run(options));
            summary.lastIfBroken().ifPresent(broken -> out.println(options + " " + broken));
        }
        out.println(summary);
        return summary.clean() ? ExitCode.OK : ExitCode.FAILED;
    }
}
