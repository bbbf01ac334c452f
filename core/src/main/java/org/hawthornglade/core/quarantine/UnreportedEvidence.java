package org.hawthornglade.core.quarantine;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** What an entry has seen and has not reported to the leader yet; the latest crashes are kept for the next leader. */
final class UnreportedEvidence {
    /** The most crash reports that are kept for a new leader. */
    private static final int MAX_RECENT_REPORTS = 64;

    private final Deque<CrashReport> recent = new ArrayDeque<>();
    private final List<CrashReport> crashes = new ArrayList<>();
    private final Map<Suspect, Long> completedMs = new HashMap<>();
    private final Set<Suspect> refused = new HashSet<>();

    void onCrash(CrashReport report) {
        recent.addLast(report);
        if (recent.size() > MAX_RECENT_REPORTS) {
            recent.removeFirst();
        }
        crashes.add(report);
    }

    void onCompleted(Suspect part, long atMs) {
        completedMs.merge(part, atMs, Math::max);
    }

    void onRefused(Suspect part) {
        refused.add(part);
    }

    /** Returns whether completed answers have to be reported. */
    boolean hasCompleted() {
        return !completedMs.isEmpty();
    }

    /** Prepares to report the latest crashes once more, to a new leader, and returns them. */
    List<CrashReport> repeatCrashes() {
        crashes.clear();
        crashes.addAll(recent);
        return List.copyOf(recent);
    }

    /** Returns the report, after which nothing is unreported. */
    QuarantineReport take(Iterable<QuarantinedPart> quarantined) {
        List<QuarantinedPart> parts = new ArrayList<>();
        quarantined.forEach(parts::add);
        QuarantineReport report = new QuarantineReport(crashes, completedMs, parts, refused);
        crashes.clear();
        completedMs.clear();
        refused.clear();
        return report;
    }
}
