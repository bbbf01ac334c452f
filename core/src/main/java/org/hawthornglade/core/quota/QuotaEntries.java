package org.hawthornglade.core.quota;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/** Which entries the leader hears, and which of them may use a share of their own meanwhile. */
final class QuotaEntries {
    private static final long OTHERS_VALID_MS = QuotaTimes.SHARE_VALID_MS + QuotaTimes.HOLD_MARGIN_MS;
    private static final long FORGET_MS = QuotaTimes.EQUAL_SHARE_VALID_MS + QuotaTimes.HOLD_MARGIN_MS;

    private final Map<String, Long> heardAtMs = new HashMap<>();
    private final int inheritedCount;
    private final Optional<QuotaHolders> former;
    private final Set<Integer> unheard = new HashSet<>();
    private final long beganAtMs;
    private long nowMs;
    private long confirmedUntilMs;
    private boolean confirmed = true;
    private int connected;
    /** The entries that every row which the store may have names; empty if it may have one that names none. */
    private Optional<Set<Integer>> recorded;

    private int recordedDivisor;
    private int fewest = Integer.MAX_VALUE;
    private int fewestBefore = Integer.MAX_VALUE;
    private long fewestSinceMs;

    /**
     * Creates the view of a new leader.
     *
     * @param inheritedCount the number of entries that the previous leader reported; 0 if unknown
     * @param former the entries that may hold shares by the lease row; empty if unknown
     */
    QuotaEntries(int inheritedCount, Optional<QuotaHolders> former, long nowMs) {
        this.inheritedCount = former.isPresent() ? 0 : inheritedCount;
        this.former = former;
        this.recorded = former.map(QuotaHolders::hashes).map(HashSet::new);
        this.recordedDivisor = former.map(QuotaHolders::divisor).orElse(0);
        this.fewestBefore = former.map(QuotaHolders::divisor).orElse(Integer.MAX_VALUE);
        this.fewestSinceMs = nowMs;
        former.ifPresent(holders -> unheard.addAll(holders.hashes()));
        this.beganAtMs = nowMs;
        this.confirmedUntilMs = nowMs;
        this.nowMs = nowMs;
    }

    void onReport(String entry, long atMs) {
        nowMs = atMs;
        heardAtMs.put(entry, atMs);
        unheard.remove(QuotaHolders.hash(entry));
    }

    void refresh(boolean nowConfirmed, long atMs) {
        nowMs = atMs;
        confirmed = nowConfirmed;
        confirmedUntilMs = nowConfirmed ? atMs : confirmedUntilMs;
        heardAtMs.values().removeIf(heard -> nowMs - heard > FORGET_MS);
        connected = (int) heardAtMs.keySet().stream()
                .filter(entry -> !silent(entry) && mayHold(entry))
                .count();
        if (nowMs - beganAtMs >= FORGET_MS) {
            unheard.clear();
        }
        noteFewest();
    }

    /** Keeps the smallest number of entries for as long as shares that were bounded by it can be used. */
    private void noteFewest() {
        if (nowMs - fewestSinceMs >= OTHERS_VALID_MS) {
            fewestBefore = fewest;
            fewest = Integer.MAX_VALUE;
            fewestSinceMs = nowMs;
        }
        fewest = Math.min(fewest, count());
    }

    /** Returns the entries that may hold shares, for the lease row, and counts them as possibly written. */
    String holders() {
        if (former.isEmpty() && formerSharesValid()) {
            return QuotaHolders.UNKNOWN;
        }
        Set<Integer> hashes = new HashSet<>(unheard);
        heardAtMs.keySet().forEach(entry -> hashes.add(QuotaHolders.hash(entry)));
        int divisor = Math.max(1, Math.min(count(), Math.min(fewest, fewestBefore)));
        String text = new QuotaHolders(divisor, hashes).encode();
        if (!text.equals(QuotaHolders.UNKNOWN)) {
            recorded = Optional.of(recorded.orElse(hashes));
            recorded.get().retainAll(hashes);
            recordedDivisor = Math.max(recordedDivisor, divisor);
        }
        return text;
    }

    /** Takes over what the lease row has after a write whose outcome is known. */
    void onHoldersStored(String text) {
        Optional<QuotaHolders> stored = QuotaHolders.decode(text);
        recorded = stored.map(QuotaHolders::hashes).map(HashSet::new);
        recordedDivisor = stored.map(QuotaHolders::divisor).orElse(0);
    }

    /** Returns whether the next leader would know that this entry may use a share. */
    boolean mayHold(String entry) {
        return recorded.isEmpty() || recorded.get().contains(QuotaHolders.hash(entry));
    }

    /** Returns the largest share that one entry may get. */
    double maxShare() {
        return Math.min(1, QuotaTimes.MAX_EVEN_SHARES / Math.max(count(), recordedDivisor));
    }

    /** Returns the most that the entries which have not been heard hold of a quota; 1 if they are not known. */
    double unheardShares() {
        return former.map(holders ->
                        Math.min(1, unheard.size() * Math.min(1, QuotaTimes.MAX_EVEN_SHARES / holders.divisor())))
                .orElse(1.0);
    }

    /** Returns what entries that have not been heard use of a quota after their shares have expired. */
    double unheardEqualShares() {
        return former.map(holders -> unheard.size() * QuotaTimes.EQUAL_SHARE / holders.divisor())
                .orElseGet(() -> missing() * equalShare());
    }

    Set<String> names() {
        return heardAtMs.keySet();
    }

    /** Returns the number of entries among which quotas are divided; at least 1. */
    int count() {
        int known = Math.max(1, heardAtMs.size() + unheard.size());
        return nowMs - beganAtMs < FORGET_MS ? Math.max(known, inheritedCount) : known;
    }

    /** Returns the number of entries that the previous leader knew and that have not been heard. */
    private int missing() {
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

    /** Returns whether shares may still be in use that a previous leader granted. */
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
