package org.hawthornglade.bench.crash;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.function.ToDoubleFunction;

/** Summarises the results of several runs. */
public final class CrashSummary {
    private final List<CrashResult> results = new ArrayList<>();

    /** Adds a run. */
    public void add(CrashResult result) {
        results.add(result);
    }

    /** Returns whether every run was clean. */
    public boolean clean() {
        return results.stream().allMatch(CrashResult::clean);
    }

    private double mean(ToDoubleFunction<CrashResult> figure) {
        return results.stream().mapToDouble(figure).average().orElse(0);
    }

    private double max(ToDoubleFunction<CrashResult> figure) {
        return results.stream().mapToDouble(figure).max().orElse(0);
    }

    @Override
    public String toString() {
        return String.format(
                Locale.ROOT,
                "runs %d  broken %d  crashes %.1f  late arrivals at most %.0f"
                        + "  quarantine after %.0f ms, at most %.0f ms"
                        + "  sound calls served before %.3f, after %.3f, refused %.0f  messages a second %.0f",
                results.size(),
                results.stream().filter(result -> !result.clean()).count(),
                mean(CrashResult::crashes),
                max(CrashResult::lateArrivals),
                mean(CrashResult::quarantineDelayMs),
                max(CrashResult::quarantineDelayMs),
                mean(CrashResult::servedBefore),
                mean(CrashResult::servedAfter),
                results.stream().mapToInt(CrashResult::soundRefusals).sum() * 1.0,
                mean(CrashResult::messagesPerSecond));
    }
}
