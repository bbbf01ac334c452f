package org.hawthornglade.core.lease;

import java.util.Optional;
import org.hawthornglade.core.store.StoreEra;
import org.hawthornglade.core.store.StoreRevision;

/** What an entry has observed of the lease row, and whether the lease is free by that. */
final class LeaseObservation {
    private final String node;
    private final String address;
    private final boolean enginesCheckTokens;
    /** How long a row must be unchanged for its lease to have expired, in milliseconds. */
    private final long expiryMs;
    /** How long a row must be unchanged for its holder to have missed a renewal, in milliseconds. */
    private final long missedRenewalMs;

    private StoredLease seen = new StoredLease(new StoreRevision(StoreEra.NONE, -1), Optional.empty());
    private long seenSinceMs;
    /** The revision that the row had when its holder's host refused a connection. */
    private Optional<StoreRevision> refusedAtRevision = Optional.empty();

    /**
     * Creates the observation of an entry that has not read the row yet.
     *
     * @param node the name of the entry
     * @param address the address at which other entries reach it
     * @param expiryMs how long a row must be unchanged for its lease to have expired, in milliseconds
     * @param missedRenewalMs how long a row must be unchanged for its holder to have missed a renewal, in milliseconds
     * @param enginesCheckTokens whether engines refuse a fencing token older than one they have seen
     */
    LeaseObservation(String node, String address, long expiryMs, long missedRenewalMs, boolean enginesCheckTokens) {
        this.node = node;
        this.address = address;
        this.expiryMs = expiryMs;
        this.missedRenewalMs = missedRenewalMs;
        this.enginesCheckTokens = enginesCheckTokens;
    }

    /** Records the row that was read, or that a message of its holder implies. */
    void observe(StoredLease stored, long nowMs) {
        if (!stored.revision().equals(seen.revision())) {
            seenSinceMs = nowMs;
        }
        seen = stored;
    }

    /** Records a row that this entry has written itself, at the time when the write was sent. */
    void onOwnWrite(StoredLease written, long sentAtMs) {
        seen = written;
        seenSinceMs = sentAtMs;
    }

    /**
     * Records the end of an attempt to connect to the holder.
     *
     * <p>A refusal tells about the row that was known when the attempt began, and nothing about a later one: the holder
     * may have started again, or another one may have followed.
     */
    void onConnectionAttempt(ConnectionAttempt attempt) {
        boolean toHolder = seen.row().map(LeaseRow::address).equals(Optional.of(attempt.address()));
        if (!toHolder || attempt.startedAtMs() < seenSinceMs) {
            return;
        }
        refusedAtRevision = attempt.refused() ? Optional.of(seen.revision()) : Optional.empty();
    }

    /** Returns the row as last read or written. */
    StoredLease seen() {
        return seen;
    }

    /** Returns how long the row was observed without a change, in milliseconds. */
    long unchangedMs(long nowMs) {
        return nowMs - seenSinceMs;
    }

    /**
     * Returns why the lease is free by the row that was read; empty if it may be in force.
     *
     * @param era the newest era of the store that is known
     * @param ledLately whether this entry may have led within the duration of a lease
     */
    Optional<ClaimReason> claimReason(StoreEra era, boolean ledLately, long nowMs) {
        if (seen.row().isEmpty() && enginesCheckTokens) {
            return Optional.of(ClaimReason.NO_ROW);
        }
        Optional<ClaimReason> expired =
                unchangedMs(nowMs) > expiryMs ? Optional.of(ClaimReason.EXPIRED) : Optional.empty();
        StoreEra writtenIn = seen.row().map(LeaseRow::era).orElse(StoreEra.NONE);
        if (era.isAfter(writtenIn)) {
            return expired;
        }
        if (seen.row().isEmpty()) {
            return Optional.of(ClaimReason.NO_ROW);
        }
        LeaseRow row = seen.row().get();
        if (row.released()) {
            // Engines that check no tokens cannot tell two entries that lead in turn from two that lead at once.
            boolean takesTurns =
                    ledLately && !enginesCheckTokens && !row.holder().equals(node);
            return takesTurns ? expired : Optional.of(ClaimReason.RELEASED);
        }
        // A holder with the same name and address is an earlier process of this entry, which has ended.
        if (row.holder().equals(node) && row.address().equals(address)) {
            return Optional.of(ClaimReason.EARLIER_PROCESS);
        }
        return holderSeemsEnded(nowMs) ? Optional.of(ClaimReason.CONNECTION_REFUSED) : expired;
    }

    /**
     * Returns whether the holder's process seems to have ended: its host refuses connections, and a renewal is missing.
     *
     * <p>This is no proof, since the host of a live holder may refuse connections while the store does not answer it.
     * It is enough only where engines refuse the orders of a holder that another one has replaced.
     */
    private boolean holderSeemsEnded(long nowMs) {
        boolean refused = refusedAtRevision.equals(Optional.of(seen.revision()));
        return enginesCheckTokens && refused && unchangedMs(nowMs) > missedRenewalMs;
    }
}
