package org.hawthornglade.core.quarantine;

import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * What an entry reports to the leader; times are on the steady clock of the entry that holds the report.
 *
 * @param crashes calls that crashes have cut off
 * @param completedMs when answers were last completed on suspects and on parts in quarantine
 * @param quarantined parts in quarantine that the leader may not know
 * @param refused parts because of which calls were refused
 */
public record QuarantineReport(
        List<CrashReport> crashes,
        Map<Suspect, Long> completedMs,
        List<QuarantinedPart> quarantined,
        Set<Suspect> refused) {
    /** A report without content. */
    public static final QuarantineReport EMPTY = new QuarantineReport(List.of(), Map.of(), List.of(), Set.of());

    /** Copies the collections. */
    public QuarantineReport {
        crashes = List.copyOf(crashes);
        completedMs = Map.copyOf(completedMs);
        quarantined = List.copyOf(quarantined);
        refused = Set.copyOf(refused);
    }

    /** Returns whether there is nothing to report. */
    public boolean isEmpty() {
        return crashes.isEmpty() && completedMs.isEmpty() && quarantined.isEmpty() && refused.isEmpty();
    }
}
