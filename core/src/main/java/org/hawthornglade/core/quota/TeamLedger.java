package org.hawthornglade.core.quota;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.hawthornglade.core.id.TeamName;

/**
 * The leader's token bucket for one team, and what each entry holds of it.
 *
 * <p>The bucket and the granted but unused units together never exceed its capacity. So what is used in any time is at
 * most what accrues in it and the capacity, however late entries use their grants.
 */
final class TeamLedger {
    /** Most of the capacity that entries keep in proportion to their demand, so that asks can be granted. */
    private static final double KEPT_SHARE = 0.75;
    /** How long an ask shows that the requests of an entry are larger than what it keeps, in milliseconds. */
    private static final long ASK_MEMORY_MS = 3_000;
    /** An entry keeps units in proportion to its demand if they pay for this many requests. */
    private static final double MIN_KEPT_REQUESTS = 2;
    /** Part of each share that does not depend on the demand. */
    private static final double EVEN_SHARE = 0.3;
    /** Smallest change of a share that is sent to an entry which does not use the team's quota. */
    private static final double SHARE_STEP = 0.01;

    /** Time constant of the demand by which shares are divided, in milliseconds. */
    private static final double LONG_MEMORY_MS = 4_000;

    /** Part of the quota by which refused units are expected to be served later, beside the usual demand. */
    private static final double SPARE_SHARE = 1 - QuotaTimes.EQUAL_SHARE;

    private static final double MS_PER_S = 1_000;

    private static final double KEEP_S = QuotaTimes.STOCK_VALID_MS / 1_000.0;

    /** What one entry holds. */
    private static final class Holding {
        private double granted;
        private double used;
        private double returned;
        private double demandPerS;
        private double longDemandPerS;
        private long reportedAtMs;
        private double sentShare;
        private double reportedShare;
        private double askUnits;
        private long askedAtMs = Long.MIN_VALUE / 2;

        double outstanding() {
            return Math.max(0, granted - used - returned);
        }

        /** Smooths the demand over a longer time, by which shares are divided. */
        void smooth(long nowMs) {
            double weight = 1 - Math.exp((reportedAtMs - nowMs) / LONG_MEMORY_MS);
            longDemandPerS += (demandPerS - longDemandPerS) * weight;
            reportedAtMs = nowMs;
        }

        double share() {
            return Math.max(sentShare, reportedShare);
        }
    }

    private final TeamName team;
    private final Map<String, Holding> holdings = new HashMap<>();
    private QuotaAmounts amounts;
    private double level;
    private double outstanding;
    private double demandPerS;
    private double longDemandPerS;
    private double sharesHeld;
    private double inheritedShares;
    private double unconfirmedShares;
    private boolean wasConfirmed = true;
    private double capacity;
    private double refillPerS;
    private double sharePool;
    private final boolean countsRefused;
    /** Units that were refused and whose callers have been told to come back. */
    private double refusedUnits;

    private long shortForMs;

    /**
     * Creates an empty ledger.
     *
     * @param countsRefused whether refused callers are told a time that takes into account those refused before
     */
    TeamLedger(TeamName team, QuotaAmounts amounts, boolean countsRefused) {
        this.team = team;
        this.amounts = amounts;
        this.countsRefused = countsRefused;
    }

    void amounts(QuotaAmounts changed) {
        level *= Math.min(1, changed.unitsPerS() / amounts.unitsPerS());
        amounts = changed;
    }

    /** Returns an empty ledger for the same quota. */
    TeamLedger emptied() {
        return new TeamLedger(team, amounts, countsRefused);
    }

    /** Recomputes the sums over all entries, and adds what has accrued since the last call. */
    void refresh(QuotaEntries entries, long elapsedMs) {
        holdings.keySet().retainAll(entries.names());
        outstanding = 0;
        demandPerS = 0;
        longDemandPerS = 0;
        sharesHeld = 0;
        double heldBack = 0;
        for (String entry : entries.names()) {
            Holding holding = holdings.get(entry);
            double share = holding == null ? 0 : holding.share();
            if (entries.silent(entry)) {
                heldBack += entries.shareValid(entry) ? Math.max(share, entries.equalShare()) : entries.equalShare();
            } else {
                sharesHeld += share;
                demandPerS += holding == null ? 0 : holding.demandPerS;
                longDemandPerS += holding == null ? 0 : holding.longDemandPerS;
            }
            if (holding != null && entries.stockValid(entry)) {
                outstanding += holding.outstanding();
            }
        }
        if (wasConfirmed && !entries.confirmed()) {
            unconfirmedShares = sharesHeld;
        }
        wasConfirmed = entries.confirmed();
        double part = part(entries, heldBack);
        capacity = amounts.capacityUnits() * part;
        refillPerS = amounts.unitsPerS() * part;
        sharePool = part;
        level = Math.min(level + amounts.accrued(elapsedMs) * part, Math.max(0, capacity - outstanding));
        countRefused(elapsedMs);
    }

    /** Estimates the refused units by the demand above the quota, less what is served of them later. */
    private void countRefused(long elapsedMs) {
        double excessPerS = demandPerS - refillPerS;
        double changePerS = excessPerS > 0 && shortForMs > 0 ? excessPerS : -SPARE_SHARE * refillPerS;
        shortForMs = Math.max(0, shortForMs - elapsedMs);
        double most = SPARE_SHARE * refillPerS * QuotaTimes.MAX_RETRY_AFTER_MS / MS_PER_S;
        refusedUnits = Math.max(0, Math.min(most, refusedUnits + changePerS * elapsedMs / MS_PER_S));
    }

    /** Returns when a request that cannot be granted should come back, from now. */
    private long msUntilRoom(double missing) {
        shortForMs = QuotaTimes.ASK_AGAIN_MS;
        double roomMs = (missing - level) / refillPerS * MS_PER_S;
        // A new leader soon has the whole rate, so that a part of it would state times that callers cannot wait for.
        double queuedMs = countsRefused ? refusedUnits / (SPARE_SHARE * amounts.unitsPerS()) * MS_PER_S : 0;
        return (long) Math.ceil(Math.max(1, Math.max(roomMs, queuedMs)));
    }

    /** Returns the part of the quota that the entries connected to this leader may use together. */
    private double part(QuotaEntries entries, double heldBack) {
        if (!entries.confirmed()) {
            double equal = entries.connected() * entries.equalShare();
            return entries.confirmedSharesValid() ? Math.min(equal, unconfirmedShares) : equal;
        }
        double free = 1 - heldBack - entries.unheardEqualShares();
        if (entries.formerSharesValid()) {
            double known = 1 - heldBack - entries.unheardShares();
            return Math.max(QuotaTimes.LAST_SHARE, Math.max(known, Math.min(inheritedShares, free)));
        }
        return Math.max(0, free);
    }

    /** Takes over what an entry reports; {@code known} if it refers to grants of this term. */
    void onUse(String entry, QuotaUse use, boolean known, long nowMs) {
        Holding holding = holdings.get(entry);
        if (holding == null) {
            holding = new Holding();
            holdings.put(entry, holding);
            inheritedShares += use.share();
            if (known) {
                holding.granted = use.usedUnits() + use.returnedUnits();
                holding.returned = use.returnedUnits();
            }
        }
        outstanding -= holding.outstanding();
        if (known) {
            level += Math.max(0, use.returnedUnits() - holding.returned);
            holding.used = use.usedUnits();
            holding.returned = Math.max(holding.returned, use.returnedUnits());
        }
        outstanding += holding.outstanding();
        demandPerS += use.demandUnitsPerS() - holding.demandPerS;
        longDemandPerS -= holding.longDemandPerS;
        holding.smooth(nowMs);
        longDemandPerS += holding.longDemandPerS;
        holding.demandPerS = use.demandUnitsPerS();
        sharesHeld -= holding.share();
        holding.reportedShare = use.share();
        sharesHeld += holding.share();
        if (use.askedUnits() > 0) {
            holding.askUnits = use.smallestAskUnits();
            holding.askedAtMs = nowMs;
        }
    }

    /** Grants an entry what it needs, as far as the bucket has it. */
    QuotaGrant grant(String entry, QuotaUse use, QuotaEntries entries, long nowMs) {
        Holding holding = holdings.get(entry);
        double keep = keep(holding, entries, nowMs);
        double held = holding.outstanding();
        double need = Math.max(0, use.askedUnits() + keep - held);
        double missing = Math.max(0, use.smallestAskUnits() - held);
        double units = level >= missing ? Math.min(need, level) : 0;
        level -= units;
        outstanding += units;
        holding.granted += units;
        double lacking = use.askedUnits() - held - units;
        long shortMs = lacking <= 0 ? 0 : msUntilRoom(missing);
        updateShare(entry, holding, entries);
        return new QuotaGrant(team, holding.granted, keep, holding.sentShare, shortMs);
    }

    /** Returns how many unused units an entry should hold. */
    private double keep(Holding holding, QuotaEntries entries, long nowMs) {
        double wanted = holding.demandPerS * KEEP_S;
        double fair = demandPerS > 0 ? KEPT_SHARE * capacity * holding.demandPerS / demandPerS : 0;
        double keep = Math.min(wanted, fair);
        boolean largeRequests = nowMs - holding.askedAtMs < ASK_MEMORY_MS;
        if (largeRequests && keep < MIN_KEPT_REQUESTS * holding.askUnits) {
            return Math.min(keep, capacity * (1 - KEPT_SHARE) / entries.count());
        }
        return keep;
    }

    /** Changes an entry's share towards its part of the demand, without exceeding the sum of all shares. */
    private void updateShare(String entry, Holding holding, QuotaEntries entries) {
        double even = 1.0 / entries.count();
        double byDemand = longDemandPerS > 0 ? holding.longDemandPerS / longDemandPerS : even;
        double target = EVEN_SHARE * even + (1 - EVEN_SHARE) * byDemand;
        double others = sharesHeld - holding.share();
        double limit = entries.confirmed() ? sharePool - others : Math.min(holding.share(), entries.equalShare());
        sharesHeld -= holding.share();
        double most = entries.mayHold(entry) ? entries.maxShare() : 0;
        holding.sentShare = Math.max(0, Math.min(Math.min(target, most), limit));
        sharesHeld += holding.share();
    }

    /** Returns a grant for an entry that does not use the quota but holds a share that others need. */
    Optional<QuotaGrant> shareChange(String entry, QuotaEntries entries) {
        Holding holding = holdings.get(entry);
        if (holding == null || demandPerS <= 0) {
            return Optional.empty();
        }
        double target = EVEN_SHARE / entries.count();
        if (holding.share() - target < SHARE_STEP) {
            return Optional.empty();
        }
        updateShare(entry, holding, entries);
        return Optional.of(new QuotaGrant(team, holding.granted, 0, holding.sentShare, 0));
    }

    /** Forgets an entry whose process has ended. */
    void removeEntry(String entry) {
        Holding holding = holdings.remove(entry);
        if (holding != null) {
            outstanding -= holding.outstanding();
            demandPerS -= holding.demandPerS;
            longDemandPerS -= holding.longDemandPerS;
            sharesHeld -= holding.share();
        }
    }

    double demandPerS() {
        return demandPerS;
    }

    double unitsPerS() {
        return amounts.unitsPerS();
    }
}
