package org.hawthornglade.core.quarantine;

import java.util.List;
import org.hawthornglade.core.id.PromptPartId;

/**
 * A call that a crash has cut off.
 *
 * @param crash the crash
 * @param atMs when the call was cut off, on the steady clock of the entry that holds the report, in milliseconds
 * @param parts the parts of its prompt that other calls may share, in order
 */
public record CrashReport(InstanceCrash crash, long atMs, List<PromptPartId> parts) {
    /** Copies the list. */
    public CrashReport {
        parts = List.copyOf(parts);
    }
}
