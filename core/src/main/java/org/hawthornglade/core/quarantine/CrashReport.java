package org.hawthornglade.core.quarantine;

import java.util.List;

/**
 * A call that a crash has cut off.
 *
 * @param crash the crash
 * @param sentAtMs when the call was sent to the instance, on the same clock as the next time
 * @param atMs when the call was cut off, on the steady clock of the entry that holds the report, in milliseconds
 * @param suspects the parts of its prompt that other calls may share, in order, and the request itself
 */
public record CrashReport(InstanceCrash crash, long sentAtMs, long atMs, List<Suspect> suspects) {
    /** Copies the list. */
    public CrashReport {
        suspects = List.copyOf(suspects);
    }
}
