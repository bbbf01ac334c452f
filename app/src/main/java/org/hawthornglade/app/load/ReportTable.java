package org.hawthornglade.app.load;

import java.util.Locale;
import java.util.Map;

/** Formats a load report as text. */
public final class ReportTable {
    private ReportTable() {}

    /** Returns the report as lines of text. */
    public static String of(LoadReport report) {
        StringBuilder text = new StringBuilder();
        appendLine(
                text,
                "run %s, seed %d, %d ms, requests sent at most %.1f ms late",
                report.runId(),
                report.seed(),
                report.durationMs(),
                report.latestSendMs());
        appendLine(
                text,
                "%n%-16s %7s %7s %7s %6s %6s %6s %8s",
                "flow",
                "sent",
                "whole",
                "on time",
                "wrong",
                "lost",
                "open",
                "refused");
        report.flows()
                .forEach(flow -> appendLine(
                        text,
                        "%-16s %7d %7d %7d %6d %6d %6d %8d",
                        flow.name(),
                        flow.sent(),
                        flow.whole(),
                        flow.onTime(),
                        flow.wrong(),
                        flow.lost(),
                        flow.unanswered(),
                        refusalCount(flow)));
        appendLine(text, "%n%-16s %-10s %9s %9s %9s %9s %9s", "times in ms", "", "p50", "p90", "p99", "p99.9", "max");
        for (FlowReport flow : report.flows()) {
            appendLatencies(text, flow.name(), "first", flow.firstByte());
            appendLatencies(text, "", "whole", flow.all());
        }
        for (ShareReport share : report.shares()) {
            appendLatencies(text, share.flow() + " own", "first", share.firstByte());
            appendLatencies(text, "", "whole", share.all());
            appendLine(
                    text,
                    "%-16s first byte p99 is %.2f times that of %s",
                    "",
                    share.firstByteP99Ratio(),
                    share.directFlow());
        }
        appendClasses(text, report);
        appendRefusals(text, report);
        appendExecutions(text, report.executions());
        return text.toString();
    }

    private static int refusalCount(FlowReport flow) {
        return flow.refusals().values().stream().mapToInt(i -> i).sum();
    }

    private static void appendLatencies(StringBuilder text, String name, String what, Latencies times) {
        appendLine(
                text,
                "%-16s %-10s %9.2f %9.2f %9.2f %9.2f %9.2f",
                name,
                what,
                times.p50Ms(),
                times.p90Ms(),
                times.p99Ms(),
                times.p999Ms(),
                times.maxMs());
    }

    private static void appendClasses(StringBuilder text, LoadReport report) {
        appendLine(text, "");
        for (Map.Entry<String, ClassReport> entry : report.classes().entrySet()) {
            ClassReport counts = entry.getValue();
            double percent = 100.0 * counts.wholeAndOnTime() / Math.max(1, counts.sent());
            appendLine(
                    text,
                    "class %-16s %d of %d whole and on time (%.2f %%)",
                    entry.getKey(),
                    counts.wholeAndOnTime(),
                    counts.sent(),
                    percent);
        }
    }

    private static void appendRefusals(StringBuilder text, LoadReport report) {
        for (FlowReport flow : report.flows()) {
            flow.refusals()
                    .forEach(
                            (code, count) -> appendLine(text, "%s: %d refused with code %d", flow.name(), count, code));
            flow.details().forEach((detail, count) -> appendLine(text, "%s: %d x %s", flow.name(), count, detail));
        }
    }

    private static void appendExecutions(StringBuilder text, ExecutionReport runs) {
        if (runs != null) {
            appendLine(
                    text,
                    "plain services ran %d calls: %d doubled, %d untrue refusals, %d answered without a run",
                    runs.executions(),
                    runs.doubled(),
                    runs.untrueRefusals(),
                    runs.answeredWithoutRun());
        }
    }

    private static void appendLine(StringBuilder text, String format, Object... values) {
        text.append(String.format(Locale.ROOT, format, values)).append(System.lineSeparator());
    }
}
