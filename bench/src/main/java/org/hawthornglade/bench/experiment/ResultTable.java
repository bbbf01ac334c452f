package org.hawthornglade.bench.experiment;

import java.util.List;
import java.util.Locale;
import java.util.function.ToDoubleFunction;

/** Formats summaries as a Markdown table: medians over seeds, with the spread between the quartiles in brackets. */
final class ResultTable {
    private static final String HEADER =
            "| policies | fault | cold starts | cold p50 s | cold p99 s | cold max s | on time | idle h"
                    + " | refused | late | unused loads | evictions | prefix hits | during | after | goodput/s |";
    private static final double SECOND_MS = 1_000;

    private ResultTable() {}

    static String format(List<Summary> summaries) {
        StringBuilder table = new StringBuilder(HEADER).append('\n');
        table.append("|---|---|").append("---:|".repeat(14)).append('\n');
        summaries.forEach(summary -> table.append(row(summary)).append('\n'));
        return table.toString();
    }

    private static String row(Summary summary) {
        return String.join(
                " | ",
                "| " + summary.label(),
                summary.fault().name(),
                cell(summary, RunResult::coldStarts, 0),
                cell(summary, run -> run.coldP50Ms() / SECOND_MS, 1),
                cell(summary, run -> run.coldP99Ms() / SECOND_MS, 1),
                cell(summary, run -> run.coldMaxMs() / SECOND_MS, 1),
                cell(summary, RunResult::onTimeShare, 4),
                cell(summary, RunResult::idleAcceleratorHours, 1),
                cell(summary, RunResult::refused, 0),
                cell(summary, RunResult::late, 0),
                cell(summary, RunResult::unusedLoads, 0),
                cell(summary, RunResult::evictions, 0),
                cell(summary, RunResult::prefixHitShare, 2),
                cell(summary, RunResult::onTimeDuring, 4),
                cell(summary, RunResult::onTimeAfter, 4),
                cell(summary, RunResult::goodputPerSecond, 3) + " |");
    }

    private static String cell(Summary summary, ToDoubleFunction<RunResult> measure, int decimals) {
        String format = "%." + decimals + "f (%." + decimals + "f)";
        return String.format(Locale.ROOT, format, summary.median(measure), summary.spread(measure));
    }
}
