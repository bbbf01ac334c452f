package org.hawthornglade.core.quota;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.hawthornglade.core.id.TeamName;
import org.hawthornglade.core.team.TeamQuota;

/**
 * Grants units of the teams' quotas to all entries, as the leader.
 *
 * <p>A new leader starts with empty buckets, and for a time uses only the shares of the entries that it has heard.
 */
public final class QuotaAllocator {
    private static final long REFRESH_INTERVAL_MS = 50;
    /** Longest time for which units accrue at once; a leader that was suspended longer may have been replaced. */
    private static final long MAX_ACCRUAL_MS = 500;

    private final QuotaTolerance tolerance;
    private final boolean countsRefused;
    private final Map<TeamName, TeamLedger> ledgers = new HashMap<>();
    private final Set<TeamName> limited = new HashSet<>();
    private final Map<String, Long> runs = new HashMap<>();
    private QuotaEntries entries = new QuotaEntries(0, Optional.empty(), 0);
    private long term;
    private long refreshedAtMs;

    /** Creates an allocator without quotas. */
    public QuotaAllocator(QuotaTolerance tolerance) {
        this(tolerance, true);
    }

    /** Creates an allocator that may tell refused callers when the next request fits, for comparisons in tests. */
    QuotaAllocator(QuotaTolerance tolerance, boolean countsRefused) {
        this.tolerance = tolerance;
        this.countsRefused = countsRefused;
    }

    /**
     * Starts anew, after this entry has started to lead.
     *
     * @param newTerm identifies the time for which it leads; not 0, and different for each leader
     * @param knownEntries the number of entries that the previous leader reported; 0 if unknown
     * @param formerHolders what the lease row has on the entries that may hold shares; empty if nothing
     */
    public void begin(long newTerm, int knownEntries, String formerHolders, long nowMs) {
        term = newTerm;
        entries = new QuotaEntries(knownEntries, QuotaHolders.decode(formerHolders), nowMs);
        runs.clear();
        ledgers.replaceAll((team, ledger) -> ledger.emptied());
        refreshedAtMs = nowMs;
    }

    /** Returns what the next write of the lease row should have on the entries that may hold shares. */
    public String holders() {
        return limited.isEmpty() ? QuotaHolders.UNKNOWN : entries.holders();
    }

    /** Takes over what the lease row has on the entries that may hold shares, after a write or a conflict. */
    public void onHoldersStored(String holders) {
        entries.onHoldersStored(holders);
    }

    /** Applies the quotas of a configuration; the ledger of a team without a quota stays, as grants are counted on. */
    public void onConfiguration(Map<TeamName, TeamQuota> quotas) {
        limited.clear();
        limited.addAll(quotas.keySet());
        quotas.forEach((team, quota) -> {
            QuotaAmounts amounts = QuotaAmounts.of(quota, tolerance);
            ledgers.computeIfAbsent(team, name -> new TeamLedger(name, amounts, countsRefused))
                    .amounts(amounts);
        });
    }

    /** Adds what has accrued; should be called frequently. */
    public void check(boolean confirmed, long nowMs) {
        long elapsedMs = nowMs - refreshedAtMs;
        if (elapsedMs < REFRESH_INTERVAL_MS) {
            return;
        }
        refreshedAtMs = nowMs;
        entries.refresh(confirmed, nowMs);
        ledgers.values().forEach(ledger -> ledger.refresh(entries, Math.min(elapsedMs, MAX_ACCRUAL_MS)));
    }

    /**
     * Handles the report of an entry.
     *
     * @param confirmed whether the lease holds, so that no other leader can exist
     * @return the answer to send to the entry now
     */
    public QuotaUpdate onReport(String entry, QuotaReport report, boolean confirmed, long nowMs) {
        Long previousRun = runs.put(entry, report.run());
        if (previousRun != null && previousRun != report.run()) {
            ledgers.values().forEach(ledger -> ledger.removeEntry(entry));
        }
        check(confirmed, nowMs);
        entries.onReport(entry, nowMs);
        boolean known = report.term() == term && previousRun != null;
        List<QuotaGrant> grants = new ArrayList<>();
        Set<TeamName> named = new HashSet<>();
        for (QuotaUse use : report.uses()) {
            TeamLedger ledger = ledgers.get(use.team());
            if (ledger != null && limited.contains(use.team()) && named.add(use.team())) {
                ledger.onUse(entry, use, known, nowMs);
                grants.add(ledger.grant(entry, use, entries, nowMs));
            }
        }
        ledgers.forEach((team, ledger) -> {
            if (!named.contains(team)) {
                ledger.shareChange(entry, entries).ifPresent(grants::add);
            }
        });
        return new QuotaUpdate(term, report.sentAtMs(), entries.mayHold(entry) ? entries.count() : 0, grants);
    }
}
