package org.hawthornglade.app;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.io.PrintStream;
import org.hawthornglade.bench.crash.CrashEmulator;
import org.hawthornglade.bench.crash.CrashOptions;
import org.hawthornglade.bench.crash.CrashResult;
import org.hawthornglade.bench.crash.CrashSummary;
import org.hawthornglade.bench.crash.DeadlyKind;
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

    @Parameter(
            names = "--deadly-share",
            description =
                    "Plays engines that crash on one part of a prompt instead; the share of calls with it, 0 to 1")
    private Double deadlyShare;

    @Parameter(names = "--deadly-kind", description = "What crashes the engines: a PART of prompts or one REQUEST")
    private DeadlyKind deadlyKind = DeadlyKind.PART;

    @Parameter(names = "--calm", description = "Runs without restarts and pauses of entries, or other crashes")
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
        return deadlyShare == null ? emulateNotices(out) : emulateCrashes(out);
    }

    private ExitCode emulateCrashes(PrintStream out) {
        if (deadlyShare < 0 || deadlyShare > 1) {
            out.println("--deadly-share is from 0 to 1");
            return ExitCode.USAGE;
        }
        CrashSummary summary = new CrashSummary();
        for (long seed = firstSeed; seed < firstSeed + seeds; seed++) {
            CrashOptions options = new CrashOptions(seed, entries, deadlyKind, deadlyShare, !calm);
            CrashResult result = CrashEmulator.run(options);
            summary.add(result);
            if (!result.clean()) {
                out.println(options + " " + result);
            }
        }
        out.println(summary);
        return summary.clean() ? ExitCode.OK : ExitCode.FAILED;
    }

    private ExitCode emulateNotices(PrintStream out) {
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
