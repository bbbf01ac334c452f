package org.hawthornglade.core.lease;

import java.util.Optional;
import org.hawthornglade.core.chart.ChartInstance;
import org.hawthornglade.core.chart.LeadershipChart;
import org.hawthornglade.core.chart.LeadershipEvent;
import org.hawthornglade.core.chart.LeadershipState;
import org.hawthornglade.core.result.Failure;

/**
 * Decides when an entry reads, claims, renews and gives up the lease.
 *
 * <p>A lease counts from the moment at which its write was sent. Another entry takes over only after the row has
 * stood still for longer than the lease on its own steady clock, counted from when it first read that revision. Both
 * clocks may stand still while a machine is suspended; the wall clock tells that, and a leader that sees it renews
 * before it orders again.
 *
 * <p>There are two ways to go on sooner. A follower takes over at once when the leader's machine refuses connections,
 * since its process has ended. And where engines check fencing tokens, a leader that cannot reach the store goes on
 * after its lease: should another entry have taken over, the engines refuse the older token.
 */
public final class Leadership {
    /** How often a follower without a leader reads the row. */
    private static final long READ_INTERVAL_MS = 300;
    /** A leader renews this many times within a lease. */
    private static final long RENEWALS_PER_LEASE = 3;
    /** Where engines check tokens a shorter lease loses nothing and brings a new leader sooner. */
    private static final long FENCED_LEASE_MS = 1_800;
    /** A leader stops ordering this long before its lease ends. */
    private static final long SAFETY_MARGIN_MS = 400;
    /** By how much the wall clock may run ahead of the steady one before a suspension is assumed. */
    private static final long MAX_CLOCK_DRIFT_MS = 250;
    /** A longer pause between two checks means that this process did not run. */
    private static final long MAX_CHECK_GAP_MS = 400;
    /** How long after a failed renewal the store is taken to be out of reach. */
    private static final long STORE_UNREACHABLE_VALID_MS = 2_500;

    private final String node;
    private final String address;
    private final String nonce;
    private final long leaseMs;
    private final boolean enginesCheckTokens;
    private final ChartInstance<LeadershipState, LeadershipEvent> state = LeadershipChart.CHART.start();
    private StoredLease seen = new StoredLease(-1, Optional.empty());
    private long seenSinceMs;
    private long nextReadMs;
    private long nextRenewalMs;
    private long leaseUntilMs;
    private long wallClockOffsetMs;
    private long checkedAtMs;
    private long runningSinceMs;
    private long storeUnreachableAtMs = Long.MIN_VALUE / 2;
    private boolean callInFlight;

    /**
     * Starts as a follower.
     *
     * @param node this entry's name
     * @param address where other entries reach it
     * @param nonce names this process
     * @param leaseMs how long a lease lasts
     * @param enginesCheckTokens whether engines refuse an older fencing token than one they have seen
     */
    public Leadership(String node, String address, String nonce, long leaseMs, boolean enginesCheckTokens) {
        this.enginesCheckTokens = enginesCheckTokens;
        this.node = node;
        this.address = address;
        this.nonce = nonce;
        this.leaseMs = enginesCheckTokens ? Math.min(leaseMs, FENCED_LEASE_MS) : leaseMs;
    }

    /** Returns whether the row should be read now. */
    public boolean shouldRead(boolean leaderHeard, long nowMs) {
        return state.state() == LeadershipState.FOLLOWING && !leaderHeard && !callInFlight && nowMs >= nextReadMs;
    }

    /**
     * Takes note that the leader was heard after it had written a revision. When the row still has that revision later,
     * it has stood still at least since then.
     */
    public void onLeaderMessage(long revision, long nowMs) {
        if (state.state() == LeadershipState.FOLLOWING && revision > seen.revision()) {
            observe(new StoredLease(revision, seen.row()), nowMs);
        }
    }

    /** Takes note that a read is sent. */
    public void onReadSent(long nowMs) {
        callInFlight = true;
        nextReadMs = nowMs + READ_INTERVAL_MS;
    }

    /** Takes note that a read failed; the row may have changed meanwhile. */
    public void onReadFailed() {
        callInFlight = false;
    }

    /**
     * Takes the row as it was read.
     *
     * @param ended the address of a leader whose process has ended, if that is known
     * @return the claim to be written, if the lease is free
     */
    public Optional<LeaseWrite> onRead(StoredLease stored, Optional<String> ended, long nowMs) {
        callInFlight = false;
        observe(stored, nowMs);
        if (state.state() != LeadershipState.FOLLOWING || !leaseFree(ended, nowMs)) {
            return Optional.empty();
        }
        fire(LeadershipEvent.CLAIM_SENT);
        callInFlight = true;
        long token = stored.row().map(LeaseRow::token).orElse(0L) + 1;
        return Optional.of(new LeaseWrite(stored.revision(), new LeaseRow(node, address, token, nonce, 0, false)));
    }

    private void observe(StoredLease stored, long nowMs) {
        if (stored.revision() != seen.revision()) {
            seenSinceMs = nowMs;
        }
        seen = stored;
    }

    private boolean leaseFree(Optional<String> ended, long nowMs) {
        if (seen.row().isEmpty()) {
            return true;
        }
        LeaseRow row = seen.row().get();
        // A process on the same machine under the same name was this entry's predecessor, which has ended.
        boolean predecessor = row.holder().equals(node) && row.address().equals(address);
        boolean holderEnded = ended.equals(Optional.of(row.address()));
        return row.released() || predecessor || holderEnded || nowMs - seenSinceMs > leaseMs + SAFETY_MARGIN_MS;
    }

    /** Takes note that a claim or renewal was written; the lease counts from when it was sent. */
    public void onWritten(LeaseWrite write, long revision, long sentAtMs, long wallSentMs) {
        callInFlight = false;
        seen = new StoredLease(revision, Optional.of(write.row()));
        seenSinceMs = sentAtMs;
        if (state.state() == LeadershipState.CLAIMING) {
            fire(LeadershipEvent.WON);
        }
        leaseUntilMs = sentAtMs + leaseMs - SAFETY_MARGIN_MS;
        wallClockOffsetMs = wallSentMs - sentAtMs;
        nextRenewalMs = sentAtMs + leaseMs / RENEWALS_PER_LEASE;
    }

    /** Takes note that the row was another one than expected. */
    public void onConflict(StoredLease stored, LeaseWrite write, long nowMs) {
        callInFlight = false;
        boolean ownEarlierWrite = stored.row().isPresent()
                && stored.row().get().nonce().equals(nonce)
                && !stored.row().get().released();
        observe(stored, nowMs);
        if (ownEarlierWrite && state.state() == LeadershipState.LEADING) {
            nextRenewalMs = nowMs;
            return;
        }
        stepDown();
    }

    /** Takes note that it is not known whether a write took effect. */
    public void onWriteOutcomeUnknown(long sentAtMs, long nowMs) {
        callInFlight = false;
        boolean ranAllTheWhile = sentAtMs >= runningSinceMs && nowMs - checkedAtMs <= MAX_CHECK_GAP_MS;
        if (ranAllTheWhile) {
            storeUnreachableAtMs = nowMs;
        }
        if (state.state() == LeadershipState.CLAIMING) {
            stepDown();
            return;
        }
        nextRenewalMs = nowMs + READ_INTERVAL_MS;
    }

    /** Returns the renewal to be written, if it is time. */
    public Optional<LeaseWrite> renewal(long nowMs) {
        if (state.state() != LeadershipState.LEADING || callInFlight || nowMs < nextRenewalMs) {
            return Optional.empty();
        }
        callInFlight = true;
        return Optional.of(
                new LeaseWrite(seen.revision(), seen.row().orElseThrow().renewed()));
    }

    /** Returns whether this entry may send orders at this moment. */
    public boolean mayOrder(long nowMs, long wallNowMs) {
        boolean leading = state.state() == LeadershipState.LEADING;
        return leading && (leaseValid(nowMs, wallNowMs) || continuesWithoutStore(nowMs));
    }

    /** Returns whether the lease holds at this moment, so that no other entry can have taken over. */
    public boolean leaseValid(long nowMs, long wallNowMs) {
        boolean suspended = Math.abs(wallNowMs - nowMs - wallClockOffsetMs) > MAX_CLOCK_DRIFT_MS;
        return state.state() == LeadershipState.LEADING && nowMs < leaseUntilMs && !suspended;
    }

    private boolean continuesWithoutStore(long nowMs) {
        boolean ranAllTheWhile = nowMs - checkedAtMs <= MAX_CHECK_GAP_MS && storeUnreachableAtMs >= runningSinceMs;
        return enginesCheckTokens && ranAllTheWhile && nowMs - storeUnreachableAtMs <= STORE_UNREACHABLE_VALID_MS;
    }

    /** Steps down when the lease has run out, and asks for a renewal when a suspension is suspected. */
    public void check(long nowMs, long wallNowMs) {
        if (nowMs - checkedAtMs > MAX_CHECK_GAP_MS) {
            runningSinceMs = nowMs;
        }
        checkedAtMs = nowMs;
        if (state.state() != LeadershipState.LEADING) {
            return;
        }
        if (nowMs >= leaseUntilMs && !callInFlight && !continuesWithoutStore(nowMs)) {
            stepDown();
        } else if (!mayOrder(nowMs, wallNowMs)) {
            nextRenewalMs = Math.min(nextRenewalMs, nowMs);
        }
    }

    /** Steps down, as after an engine has refused this leader's token for a higher one. */
    public void stepDown() {
        if (state.accepts(LeadershipEvent.LOST)) {
            fire(LeadershipEvent.LOST);
        }
    }

    /**
     * Steps down for good.
     *
     * @return the write by which the lease is given up, if it is held
     */
    public Optional<LeaseWrite> resign() {
        boolean leading = state.state() == LeadershipState.LEADING;
        if (state.accepts(LeadershipEvent.STOP)) {
            fire(LeadershipEvent.STOP);
        }
        return leading
                ? Optional.of(
                        new LeaseWrite(seen.revision(), seen.row().orElseThrow().release()))
                : Optional.empty();
    }

    public boolean leading() {
        return state.state() == LeadershipState.LEADING;
    }

    /** Returns the fencing token of this entry's own lease. */
    public long token() {
        return seen.row().orElseThrow().token();
    }

    /** Returns the lease as last seen. */
    public StoredLease seen() {
        return seen;
    }

    private void fire(LeadershipEvent event) {
        state.fire(event).getOrElseThrow(Leadership::broken);
    }

    private static IllegalStateException broken(Failure failure) {
        return new IllegalStateException(failure.message());
    }
}
