package org.hawthornglade.standin.engine;

import java.util.ArrayDeque;
import java.util.Deque;
import org.hawthornglade.core.engine.EngineReport;

/** Stores an engine's reports and returns the one that was current a fixed lag ago. */
final class ReportHistory {
    private final long lagMs;
    private final Deque<EngineReport> reports = new ArrayDeque<>();

    ReportHistory(long lagMs) {
        this.lagMs = lagMs;
    }

    /** Adds the report after a change and drops those that can no longer be returned. */
    void add(EngineReport report) {
        if (lagMs == 0) {
            reports.clear();
        }
        reports.addLast(report);
        dropBefore(report.takenAtMs() - lagMs);
    }

    EngineReport at(long nowMs) {
        long takenAtMs = nowMs - lagMs;
        dropBefore(takenAtMs);
        EngineReport report = reports.getFirst();
        return new EngineReport(
                Math.max(takenAtMs, report.takenAtMs()),
                report.orderSequence(),
                report.bootId(),
                report.fencingNumber(),
                report.memoryMb(),
                report.models(),
                report.cached());
    }

    /** Drops all reports before the last one taken at or before the time. */
    private void dropBefore(long timeMs) {
        while (reports.size() > 1) {
            EngineReport first = reports.removeFirst();
            if (reports.getFirst().takenAtMs() > timeMs) {
                reports.addFirst(first);
                return;
            }
        }
    }
}
