package org.hawthornglade.core.quota;

import java.util.List;

/**
 * The leader's answer to the report of one entry.
 *
 * @param term identifies the time for which the leader leads
 * @param reportSentAtMs when the answered report was sent, on the entry's own steady clock
 * @param entries the number of entries among which quotas are divided; 0 if the entry may use nothing without a leader
 * @param grants one for each team that is in use or whose share changes
 */
public record QuotaUpdate(long term, long reportSentAtMs, int entries, List<QuotaGrant> grants) {
    /** Copies the list. */
    public QuotaUpdate {
        grants = List.copyOf(grants);
    }
}
