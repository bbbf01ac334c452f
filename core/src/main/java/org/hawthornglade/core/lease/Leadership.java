package org.hawthornglade.core.lease;

import java.util.Optional;
import org.hawthornglade.core.chart.ChartInstance;
import org.hawthornglade.core.chart.LeadershipChart;
import org.hawthornglade.core.chart.LeadershipEvent;
import org.hawthornglade.core.chart.LeadershipState;
import org.hawthornglade.core.result.Failure;
import org.hawthornglade.core.store.StoreEra;
import org.hawthornglade.core.store.StoreRevision;

/**
 * Decides when an entry reads, claims, renews and releases the lease of the placement leader.
 *
 * <p>A lease is valid from the moment at which its write was sent. Another entry takes over only after the row has been
 * unchanged for longer than the lease on its own steady clock, counted from when it first read that revision. Steady
 * clocks may stop while a machine is suspended; a leader detects this by the wall clock and renews the lease before it
 * sends further orders.
 *
 * <p>There are two exceptions where engines check fencing tokens, since they refuse the older token of a leader that
 * was replaced by mistake. A follower takes over without waiting for the end of the lease if the leader's host refuses
 * connections and a renewal is missing. And a leader that cannot reach the store continues beyond its lease for as
 * long as engines answer.
 *
 * <p>A store that was restored from an older copy may have lost the row of a lease that is in force, and may show an
 * earlier one. A row that was not written since the restore therefore frees nothing: another entry waits for as long as
 * a lease that was given before may last, unless there is no row and engines check tokens. The leader itself claims its
 * lease again, with a new token.
 */
public final class Leadership {
    /** Interval at which a follower without a leader reads the row, in milliseconds. */
    private static final long READ_INTERVAL_MS = 300;
    /** Interval at which a follower reads the row if its leader is alive but does not renew, in milliseconds. */
    private static final long LEADER_CHECK_INTERVAL_MS = 1_000;
    /** Number of renewals within the duration of a lease. */
    private static final long RENEWALS_PER_LEASE = 3;
    /** Maximum lease where engines check tokens: it has no drawback there and allows a faster takeover. */
    private static final long FENCED_LEASE_MS = 1_800;
    /** A leader stops sending orders this long before its lease ends, in milliseconds. */
    private static final long SAFETY_MARGIN_MS = 400;
    /** Maximum drift between wall clock and steady clock; a larger one indicates a suspension. */
    private static final long MAX_CLOCK_DRIFT_MS = 250;
    /** Maximum time between two checks; a longer one indicates that this process was not running. */
    private static final long MAX_CHECK_GAP_MS = 400;
    /** How long after a failed renewal the store counts as unreachable, in milliseconds. */
    private static final long STORE_UNREACHABLE_VALID_MS = 2_500;
    /**
     * A leader without the store stops leading if no engine has answered for this time, in milliseconds. An engine that
     * is reachable answers within some 10 ms, and three are asked in this time.
     */
    private static final long ENGINE_SILENCE_MS = 1_000;
    /** Interval at which a leader without the store asks an engine whether it is reachable, in milliseconds. */
    private static final long ENGINE_PROBE_INTERVAL_MS = 300;

    private final String node;
    private final String address;
    private final String nonce;
    private final long leaseMs;
    private final boolean enginesCheckTokens;
    private final ChartInstance<LeadershipState, LeadershipEvent> state = LeadershipChart.CHART.start();
    private final LeaseObservation observation;
    private StoreEra era = StoreEra.NONE;
    private StoreRevision claimed = new StoreRevision(StoreEra.NONE, 0);
    private long nextReadMs;
    private long nextCheckOfLeaderMs;
    private long nextRenewalMs;
    private long leaseUntilMs;
    private long wallClockOffsetMs;
    private boolean suspendedSinceRenewal;
    private long checkedAtMs;
    private long runningSinceMs;
    private Optional<Long> startedAtMs = Optional.empty();
    private long storeUnreachableAtMs = Long.MIN_VALUE / 2;
    private Optional<Long> withoutStoreSinceMs = Optional.empty();
    private long engineAnsweredAtMs = Long.MIN_VALUE / 2;
    private long engineProbedAtMs = Long.MIN_VALUE / 2;
    private boolean callInFlight;
    /** The newest fencing token that this entry has heard of; a claim in a row is a lower bound of one. */
    private long newestToken;

    /**
     * Creates the leadership of an entry, which starts as a follower.
     *
     * @param node the name of this entry
     * @param address the address at which other entries reach it, as {@code HOST:PORT}
     * @param nonce a unique id of this process
     * @param leaseMs the duration of a lease
     * @param enginesCheckTokens whether engines refuse a fencing token older than one they have seen
     */
    public Leadership(String node, String address, String nonce, long leaseMs, boolean enginesCheckTokens) {
        this.enginesCheckTokens = enginesCheckTokens;
        this.node = node;
        this.address = address;
        this.nonce = nonce;
        this.leaseMs = enginesCheckTokens ? Math.min(leaseMs, FENCED_LEASE_MS) : leaseMs;
        this.observation = new LeaseObservation(
                node,
                address,
                this.leaseMs + SAFETY_MARGIN_MS,
                this.leaseMs / RENEWALS_PER_LEASE + SAFETY_MARGIN_MS,
                enginesCheckTokens);
    }

    /** Handles the era of the store that a response or another entry has named. */
    public void onStoreEra(StoreEra named, long nowMs) {
        if (!named.isAfter(era)) {
            return;
        }
        era = named;
        if (state.state() == LeadershipState.LEADING) {
            nextReadMs = nowMs;
        }
    }

    /** Returns whether the row should be read now. */
    public boolean shouldRead(boolean leaderAlive, long nowMs) {
        boolean wanted = state.state() == LeadershipState.FOLLOWING
                ? !leaderAlive || leaderMayBeReplaced(nowMs)
                : mustClaimAgain();
        return wanted && !callInFlight && nowMs >= nextReadMs;
    }

    /** Returns whether the leader that this entry follows has not renewed its lease for so long that it may be lost. */
    private boolean leaderMayBeReplaced(long nowMs) {
        return enginesCheckTokens && observation.unchangedMs(nowMs) > leaseMs && nowMs >= nextCheckOfLeaderMs;
    }

    /**
     * Handles the row that was read while the leader is alive: it may name a newer leader, but is not claimed.
     */
    public void onReadWhileFollowing(StoredLease stored, long nowMs) {
        callInFlight = false;
        onStoreEra(stored.revision().era(), nowMs);
        if (state.state() == LeadershipState.FOLLOWING
                && !era.isAfter(stored.revision().era())) {
            observe(stored, nowMs);
        }
    }

    /**
     * Handles the fencing token of a leader that this entry is connected to.
     *
     * @return whether to follow it: whether no newer token is known, where engines check tokens
     */
    public boolean onLeaderToken(FencingToken token) {
        newestToken = Math.max(newestToken, token.value());
        return !enginesCheckTokens || token.value() >= newestToken;
    }

    /** Returns whether this entry leads by a lease whose row the store may have lost. */
    private boolean mustClaimAgain() {
        return state.state() == LeadershipState.LEADING && era.isAfter(claimed.era());
    }

    /**
     * Records that a message of the leader was received after it had written a revision. If the row still has that
     * revision later, it has been unchanged at least since then.
     */
    public void onLeaderMessage(StoreRevision revision, long nowMs) {
        onStoreEra(revision.era(), nowMs);
        if (state.state() == LeadershipState.FOLLOWING && revision.isAfter(seen().revision())) {
            observe(new StoredLease(revision, seen().row()), nowMs);
        }
    }

    /** Records the end of an attempt to connect to the leader. */
    public void onConnectionAttempt(ConnectionAttempt attempt) {
        observation.onConnectionAttempt(attempt);
    }

    /** Records that a read was sent. */
    public void onReadSent(long nowMs) {
        callInFlight = true;
        nextReadMs = nowMs + READ_INTERVAL_MS;
        nextCheckOfLeaderMs = nowMs + LEADER_CHECK_INTERVAL_MS;
    }

    /** Records that a read failed; the row may have changed since the last read. */
    public void onReadFailed() {
        callInFlight = false;
    }

    /**
     * Handles the row that was read.
     *
     * @return the claim to be written, if the lease is free
     */
    public Optional<LeaseClaim> onRead(StoredLease stored, long nowMs) {
        callInFlight = false;
        onStoreEra(stored.revision().era(), nowMs);
        if (era.isAfter(stored.revision().era())) {
            return Optional.empty();
        }
        observe(stored, nowMs);
        if (mustClaimAgain()) {
            return claimAgain(stored, nowMs);
        }
        if (state.state() != LeadershipState.FOLLOWING) {
            return Optional.empty();
        }
        Optional<ClaimReason> reason = observation.claimReason(era, mayHaveLedLately(nowMs), nowMs);
        if (reason.isPresent()) {
            fire(LeadershipEvent.CLAIM_SENT);
        }
        return reason.map(each -> claim(stored, each, nowMs));
    }

    /** Returns whether this entry, or an earlier process of it, may have sent orders within the duration of a lease. */
    private boolean mayHaveLedLately(long nowMs) {
        return nowMs - Math.max(startedAtMs.orElse(nowMs), leaseUntilMs) <= leaseMs;
    }

    /** Claims the lease of this leader, unless it may have ended or another entry has claimed it since the restore. */
    private Optional<LeaseClaim> claimAgain(StoredLease stored, long nowMs) {
        boolean others = stored.row()
                .filter(row -> row.era().equals(era) && !row.nonce().equals(nonce))
                .isPresent();
        if (others || mayHaveEnded(nowMs)) {
            stepDown();
            return Optional.empty();
        }
        return Optional.of(claim(stored, ClaimReason.STORE_RESTORED, nowMs));
    }

    /**
     * Returns whether the lease of this leader may have ended, so that another entry may have led before the restore.
     * Where engines check tokens, they refuse the older one.
     */
    private boolean mayHaveEnded(long nowMs) {
        return !enginesCheckTokens && (nowMs >= leaseUntilMs || suspendedSinceRenewal);
    }

    private LeaseClaim claim(StoredLease stored, ClaimReason reason, long nowMs) {
        callInFlight = true;
        // The version of the write is not known yet, but it is higher than that of the row.
        long least = FencingToken.of(stored.revision()).value() + 1;
        long token = Math.max(least, stored.row().map(LeaseRow::token).orElse(0L) + 1);
        // A row that was written before a restore may be older than the last one, so what it tells is not taken over.
        String holders = stored.row()
                .filter(row -> row.era().equals(era))
                .map(LeaseRow::quotaHolders)
                .orElse("");
        LeaseRow claiming = new LeaseRow(node, address, token, nonce, 0, false, era, holders);
        return new LeaseClaim(
                new LeaseWrite(stored.revision(), claiming), reason, stored, observation.unchangedMs(nowMs));
    }

    private void observe(StoredLease stored, long nowMs) {
        observation.observe(stored, nowMs);
        newestToken = Math.max(newestToken, stored.row().map(LeaseRow::token).orElse(0L));
    }

    /** Handles the success of a claim or renewal; the lease is valid from when it was sent. */
    public void onWritten(LeaseWrite write, StoreRevision revision, long sentAtMs, long wallSentMs) {
        callInFlight = false;
        onStoreEra(revision.era(), sentAtMs);
        if (!revision.era().equals(write.expected().era()) || era.isAfter(revision.era())) {
            onWrittenAcrossRestore();
            return;
        }
        withoutStoreSinceMs = Optional.empty();
        observation.onOwnWrite(new StoredLease(revision, Optional.of(write.row())), sentAtMs);
        if (write.row().renewals() == 0) {
            claimed = revision;
            newestToken = Math.max(newestToken, token().value());
        }
        if (state.state() == LeadershipState.CLAIMING) {
            fire(LeadershipEvent.WON);
        }
        leaseUntilMs = sentAtMs + leaseMs - SAFETY_MARGIN_MS;
        wallClockOffsetMs = wallSentMs - sentAtMs;
        suspendedSinceRenewal = false;
        nextRenewalMs = sentAtMs + leaseMs / RENEWALS_PER_LEASE;
    }

    /** The write rests on a revision that the store has lost: it may be lost too, or have replaced another's row. */
    private void onWrittenAcrossRestore() {
        if (state.state() == LeadershipState.CLAIMING) {
            stepDown();
        }
    }

    /** Handles the rejection of a write because the row had another revision than expected. */
    public void onConflict(StoredLease stored, LeaseWrite write, long nowMs) {
        callInFlight = false;
        withoutStoreSinceMs = Optional.empty();
        onStoreEra(stored.revision().era(), nowMs);
        if (mustClaimAgain()) {
            return;
        }
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

    /** Handles a write whose outcome is unknown. */
    public void onWriteOutcomeUnknown(long sentAtMs, long nowMs) {
        callInFlight = false;
        boolean ranThroughout = sentAtMs >= runningSinceMs && nowMs - checkedAtMs <= MAX_CHECK_GAP_MS;
        if (ranThroughout) {
            storeUnreachableAtMs = nowMs;
            withoutStoreSinceMs = withoutStoreSinceMs.or(() -> Optional.of(nowMs));
        }
        if (state.state() == LeadershipState.CLAIMING) {
            stepDown();
            return;
        }
        nextRenewalMs = nowMs + READ_INTERVAL_MS;
    }

    /** Returns the renewal to be written, if one is due. */
    public Optional<LeaseWrite> renewal(long nowMs) {
        boolean due = state.state() == LeadershipState.LEADING && nowMs >= nextRenewalMs;
        if (!due || callInFlight || mustClaimAgain()) {
            return Optional.empty();
        }
        callInFlight = true;
        return Optional.of(
                new LeaseWrite(seen().revision(), seen().row().orElseThrow().renewed(token())));
    }

    /** Returns whether this entry may send orders now. */
    public boolean mayOrder(long nowMs, long wallNowMs) {
        boolean leading = state.state() == LeadershipState.LEADING;
        return leading && (leaseValid(nowMs, wallNowMs) || continuesWithoutStore(nowMs));
    }

    /** Returns whether the lease is valid now, so that no other entry can have taken over. */
    public boolean leaseValid(long nowMs, long wallNowMs) {
        return state.state() == LeadershipState.LEADING && nowMs < leaseUntilMs && !suspended(nowMs, wallNowMs);
    }

    /** Returns whether this process may have been suspended, with its steady clock, since its last renewal. */
    private boolean suspended(long nowMs, long wallNowMs) {
        return Math.abs(wallNowMs - nowMs - wallClockOffsetMs) > MAX_CLOCK_DRIFT_MS;
    }

    private boolean continuesWithoutStore(long nowMs) {
        boolean ranThroughout = nowMs - checkedAtMs <= MAX_CHECK_GAP_MS && storeUnreachableAtMs >= runningSinceMs;
        return enginesCheckTokens
                && ranThroughout
                && nowMs - storeUnreachableAtMs <= STORE_UNREACHABLE_VALID_MS
                && enginesReachable(nowMs);
    }

    /** Returns whether an engine has answered lately, or was not asked for long enough since the store is lost. */
    private boolean enginesReachable(long nowMs) {
        long withoutStoreSince = withoutStoreSinceMs.orElse(nowMs);
        return nowMs - Math.max(engineAnsweredAtMs, withoutStoreSince) <= ENGINE_SILENCE_MS;
    }

    /** Records that an engine has answered an order or a request, or that there are no engines to be asked. */
    public void onEngineAnswered(long nowMs) {
        engineAnsweredAtMs = nowMs;
    }

    /** Returns whether an engine should be asked now whether it is reachable, because the store is not. */
    public boolean shouldProbeEngine(long nowMs) {
        return state.state() == LeadershipState.LEADING
                && withoutStoreSinceMs.isPresent()
                && nowMs - Math.max(engineAnsweredAtMs, engineProbedAtMs) >= ENGINE_PROBE_INTERVAL_MS;
    }

    /** Records that an engine was asked. */
    public void onEngineProbed(long nowMs) {
        engineProbedAtMs = nowMs;
    }

    /** Steps down if the lease has expired, and schedules a renewal if a suspension is suspected. */
    public void check(long nowMs, long wallNowMs) {
        if (nowMs - checkedAtMs > MAX_CHECK_GAP_MS) {
            runningSinceMs = nowMs;
        }
        checkedAtMs = nowMs;
        startedAtMs = startedAtMs.or(() -> Optional.of(nowMs));
        if (state.state() != LeadershipState.LEADING) {
            return;
        }
        suspendedSinceRenewal |= suspended(nowMs, wallNowMs);
        if (nowMs >= leaseUntilMs && !callInFlight && !continuesWithoutStore(nowMs)) {
            stepDown();
        } else if (!mayOrder(nowMs, wallNowMs)) {
            nextRenewalMs = Math.min(nextRenewalMs, nowMs);
        }
    }

    /** Steps down, as when an engine has refused this leader's token because it has seen a higher one. */
    public void stepDown() {
        if (state.accepts(LeadershipEvent.LOST)) {
            fire(LeadershipEvent.LOST);
        }
    }

    /**
     * Steps down permanently.
     *
     * @return the write that releases the lease, if this entry leads
     */
    public Optional<LeaseWrite> resign() {
        boolean holdsRow = state.state() == LeadershipState.LEADING && !mustClaimAgain();
        if (state.accepts(LeadershipEvent.STOP)) {
            fire(LeadershipEvent.STOP);
        }
        return holdsRow
                ? Optional.of(new LeaseWrite(
                        seen().revision(), seen().row().orElseThrow().release()))
                : Optional.empty();
    }

    public boolean leading() {
        return state.state() == LeadershipState.LEADING;
    }

    /** Returns the fencing token of this entry's own lease, or of its last one. */
    public FencingToken token() {
        return FencingToken.of(claimed);
    }

    /** Returns the lease as last read or written. */
    public StoredLease seen() {
        return observation.seen();
    }

    private void fire(LeadershipEvent event) {
        state.fire(event).getOrElseThrow(Leadership::invalidTransition);
    }

    private static IllegalStateException invalidTransition(Failure failure) {
        return new IllegalStateException(failure.message());
    }
}
