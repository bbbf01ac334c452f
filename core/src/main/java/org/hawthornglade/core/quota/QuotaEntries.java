package org.hawthornglade.core.quota;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/** Which entries the leader hears, and which of them may use a share of their own meanwhile. */
final class QuotaEntries {
    private static final long OTHERS_VALID_MS = QuotaTimes.SHARE_VALID_MS + QuotaTimes.HOLD_MARGIN_MS;
    private static final long FORGET_MS = QuotaTimes.EQUAL_SHARE_VALID_MS + QuotaTimes.HOLD_MARGIN_MS;

    private final Map<String, Long> heardAtMs = new HashMap<>();
    private final int inheritedCount;
    private final long beganAtMs;
    private long nowMs;
    private long confirmedUntilMs;
    private boolean confirmed = true;
    private int connected;

    /**
     * Creates the view of a new leader.
     *
     * @param inheritedCount the number of entries that the previous leader reported; 0 if unknown
     */
    QuotaEntries(int inheritedCount, long nowMs) {
        this.inheritedCount = inheritedCount;
        this.beganAtMs = nowMs;
        this.confirmedUntilMs = nowMs;
        this.nowMs = nowMs;
    }

    void onReport(String entry, long atMs) {
        nowMs = atMs;
        heardAtMs.put(entry, atMs);
    }

    void refresh(boolean nowConfirmed, long atMs) {
        nowMs = atMs;
        confirmed = nowConfirmed;
        confirmedUntilMs = nowConfirmed ? atMs : confirmedUntilMs;
        heardAtMs.values().removeIf(heard -> nowMs - heard > FORGET_MS);
        connected = (int)
                heardAtMs.keySet().stream().filter(entry -> !silent(entry)).count();
    }

    Set<String> names() {
        return heardAtMs.keySet();
    }

    /** Returns the number of entries among which quotas are divided; at least 1. */
    int count() {
        int known = Math.max(1, heardAtMs.size());
        return nowMs - beganAtMs < FORGET_MS ? Math.max(known, inheritedCount) : known;
    }

    /** Returns the number of entries that the previous leader knew and that have not been heard. */
    int missing() {
        return count() - Math.max(1, heardAtMs.size());
    }

    int connected() {
        return connected;
    }

    boolean confirmed() {
        return confirmed;
    }

    boolean silent(String entry) {
        return nowMs - heardAtMs.get(entry) > QuotaTimes.SILENT_MS;
    }

    boolean stockValid(String entry) {
        return nowMs - heardAtMs.get(entry) <= QuotaTimes.STOCK_VALID_MS + QuotaTimes.SILENT_MS;
    }

    boolean shareValid(String entry) {
        return nowMs - heardAtMs.get(entry) <= OTHERS_VALID_MS;
    }

    /** Returns whether shares may still be in use that the previous leader granted. */
    boolean formerSharesValid() {
        return nowMs - beganAtMs < OTHERS_VALID_MS;
    }

    /** Returns whether shares that this leader granted may be in use where a later leader does not know of them. */
    boolean confirmedSharesValid() {
        return nowMs - confirmedUntilMs < OTHERS_VALID_MS;
    }

    /** Returns the part of a quota that an entry uses after its share has expired. */
    double equalShare() {
        return QuotaTimes.EQUAL_SHARE / count();
    }
}
