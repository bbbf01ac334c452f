package org.hawthornglade.core.quota;

import java.util.List;

/**
 * What an entry reports to the leader on quotas.
 *
 * @param run identifies the run of the entry's process
 * @param sentAtMs when the report was sent, on the entry's steady clock
 * @param term the term of the leader whose grants {@code uses} refers to; 0 if none
 * @param uses one for each team that is in use at the entry
 */
public record QuotaReport(long run, long sentAtMs, long term, List<QuotaUse> uses) {
    /** The report of an entry that knows of no quota. */
    public static final QuotaReport NONE = new QuotaReport(0, 0, 0, List.of());

    /** Copies the list. */
    public QuotaReport {
        uses = List.copyOf(uses);
    }
}
