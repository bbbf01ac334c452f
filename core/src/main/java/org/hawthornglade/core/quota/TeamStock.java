package org.hawthornglade.core.quota;

import org.hawthornglade.core.id.TeamName;

/** What an entry may use of the quota of one team: units that the leader granted, or its share without a leader. */
final class TeamStock {
    /** How long after an answer the next one tells how the time until there is room grows, in milliseconds. */
    private static final double SLOPE_VALID_MS = 1_000;

    private final TeamName team;
    private final DemandRate demand = new DemandRate(1_000);
    private QuotaAmounts amounts;
    private double grantedUnits;
    private double usedUnits;
    private double returnedUnits;
    private double keepUnits;
    private double share;
    private double askedUnits;
    private double smallestAskUnits = Double.MAX_VALUE;
    private double shortUnits = Double.MAX_VALUE;
    private long roomAtMs;
    private long toldAtMs = Long.MIN_VALUE / 2;
    private double roomGrowth;
    private long askAgainAtMs;
    private double aloneUnits;
    private boolean reported;

    TeamStock(TeamName team, QuotaAmounts amounts) {
        this.team = team;
        this.amounts = amounts;
    }

    /** Applies a changed quota; what was granted shrinks with the rate at once. */
    void amounts(QuotaAmounts changed) {
        double ratio = Math.min(1, changed.unitsPerS() / amounts.unitsPerS());
        usedUnits += Math.max(0, level()) * (1 - ratio);
        aloneUnits = Math.min(aloneUnits, changed.capacityUnits() * share);
        keepUnits *= ratio;
        amounts = changed;
    }

    QuotaAmounts amounts() {
        return amounts;
    }

    private double level() {
        return grantedUnits - usedUnits - returnedUnits;
    }

    void onRequest(double units, long nowMs) {
        demand.add(units, nowMs);
    }

    double demandPerS(long nowMs) {
        return demand.perSecond(nowMs);
    }

    boolean tryTakeGranted(double units) {
        if (level() < units) {
            return false;
        }
        usedUnits += units;
        return true;
    }

    /** Discards the granted units, which can no longer be used. */
    void expireGranted() {
        usedUnits += Math.max(0, level());
    }

    /** Takes units from the bucket that the entry's share fills while no leader is heard. */
    boolean tryTakeAlone(double units, double part) {
        double capacity = amounts.capacityUnits() * part;
        boolean fits = aloneUnits >= units;
        boolean fitsWithDebt = aloneUnits >= capacity && units - capacity <= amounts.reserveUnits() / 2 * part;
        if (part <= 0 || (!fits && !fitsWithDebt)) {
            return false;
        }
        aloneUnits -= units;
        return true;
    }

    void refillAlone(long elapsedMs, double part) {
        aloneUnits = Math.min(amounts.capacityUnits() * part, aloneUnits + amounts.accrued(elapsedMs) * part);
    }

    /**
     * Starts the bucket of the share with a part of the tolerance, since requests do not come evenly.
     *
     * @param again whether this has happened in the current window, so that no more than what is left is given
     */
    void startAlone(double part, boolean again) {
        double startUnits = amounts.reserveUnits() / 2 * part;
        aloneUnits = again ? Math.min(aloneUnits, startUnits) : startUnits;
    }

    /** Takes units that accrued while no leader was heard; the next leader starts with an empty bucket. */
    boolean tryTakeLeft(double units) {
        if (aloneUnits < units) {
            return false;
        }
        aloneUnits -= units;
        return true;
    }

    /** Returns how long it takes until the share without a leader has these units, in milliseconds. */
    double msUntilAlone(double units, double part) {
        return (units - aloneUnits) / (amounts.accrued(1) * part);
    }

    void refundGranted(double units) {
        usedUnits -= units;
    }

    void refundAlone(double units, double part) {
        aloneUnits = Math.min(amounts.capacityUnits() * part, aloneUnits + units);
    }

    void ask(double units) {
        askedUnits += units;
        smallestAskUnits = Math.min(smallestAskUnits, units);
    }

    boolean asks() {
        return askedUnits > 0;
    }

    /** Returns whether the leader has stated that it cannot grant these units yet. */
    boolean knownShort(double units, long nowMs) {
        return units >= shortUnits && nowMs < askAgainAtMs;
    }

    /** Returns when a refused request should come back; the time grows on between answers as it did before. */
    double msUntilRoom(long nowMs) {
        return roomAtMs - nowMs + roomGrowth * (nowMs - toldAtMs);
    }

    /** Returns whether less than half of the units that the entry should have are left. */
    boolean low() {
        return keepUnits > 0 && level() < keepUnits / 2;
    }

    boolean inUse(long nowMs) {
        return demandPerS(nowMs) > 0 || asks() || level() > 0 || reported;
    }

    double share() {
        return share;
    }

    /** Returns what to report, and gives back what exceeds the units to keep. */
    QuotaUse report(long nowMs) {
        returnedUnits += Math.max(0, level() - keepUnits);
        double demandNow = demandPerS(nowMs);
        reported = demandNow > 0;
        double smallest = asks() ? smallestAskUnits : 0;
        QuotaUse use = new QuotaUse(team, usedUnits, returnedUnits, demandNow, askedUnits, smallest, share);
        shortUnits = asks() ? smallestAskUnits : shortUnits;
        askedUnits = 0;
        smallestAskUnits = Double.MAX_VALUE;
        return use;
    }

    /** Starts to count anew, since another leader grants. */
    void onTerm() {
        grantedUnits = 0;
        usedUnits = 0;
        returnedUnits = 0;
        keepUnits = 0;
        // The new leader does not know of the share of a team that was not in the report; it names all others.
        share = 0;
    }

    void onGrant(QuotaGrant grant, long nowMs) {
        grantedUnits = Math.max(grantedUnits, grant.grantedUnits());
        keepUnits = grant.keepUnits();
        share = grant.share();
        if (grant.shortMs() > 0) {
            double elapsedMs = nowMs - toldAtMs;
            boolean lately = elapsedMs > 0 && elapsedMs <= SLOPE_VALID_MS && grant.shortMs() > SLOPE_VALID_MS;
            roomGrowth = lately ? Math.max(0, (nowMs + grant.shortMs() - roomAtMs) / elapsedMs) : 0;
            toldAtMs = nowMs;
            roomAtMs = nowMs + grant.shortMs();
            askAgainAtMs = nowMs + Math.min(grant.shortMs(), QuotaTimes.ASK_AGAIN_MS);
        } else {
            shortUnits = Double.MAX_VALUE;
        }
    }
}
