package org.hawthornglade.core.lease;

import static com.google.common.truth.Truth.assertThat;

import java.util.Optional;
import org.hawthornglade.core.store.StoreEra;
import org.hawthornglade.core.store.StoreRevision;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

class LeadershipTest {
    private static final long LEASE_MS = 3_000;
    private static final long WRITE_TIMEOUT_MS = 600;
    private static final long WALL_MS = 1_000_000;
    private static final String ADDRESS = "10.0.0.1:7000";
    private static final LeaseRow OTHERS_ROW = new LeaseRow("b", "10.0.0.2:7000", 7, "b-1", 4, false, StoreEra.NONE);

    private static StoreRevision revision(long number) {
        return new StoreRevision(StoreEra.NONE, number);
    }

    private static Leadership entry(boolean enginesCheckTokens) {
        Leadership leadership = new Leadership("a", ADDRESS, "a-1", LEASE_MS, enginesCheckTokens);
        leadership.check(0, WALL_MS);
        return leadership;
    }

    private static Leadership leader(boolean enginesCheckTokens) {
        Leadership leadership = entry(enginesCheckTokens);
        leadership.onReadSent(0);
        LeaseWrite claim = leadership
                .onRead(new StoredLease(revision(0), Optional.empty()), 0)
                .orElseThrow()
                .write();
        leadership.onWritten(claim, revision(5), 0, WALL_MS);
        return leadership;
    }

    private static void run(Leadership leadership, long fromMs, long toMs) {
        for (long ms = fromMs; ms <= toMs; ms += 50) {
            leadership.check(ms, WALL_MS + ms);
        }
    }

    @Test
    void claimsAFreeLeaseWithAHigherToken() {
        Leadership leadership = entry(true);
        StoredLease released = new StoredLease(revision(9), Optional.of(OTHERS_ROW.release()));
        LeaseWrite claim = leadership.onRead(released, 0).orElseThrow().write();
        assertThat(claim.expected().number()).isEqualTo(9);
        assertThat(claim.row().token()).isGreaterThan(OTHERS_ROW.token());
        assertThat(leadership.leading()).isFalse();
        leadership.onWritten(claim, revision(12), 0, WALL_MS);
        assertThat(leadership.token().value()).isAtLeast(claim.row().token());
    }

    @ParameterizedTest
    @CsvSource({
        "false, 1000, false",
        "false, 3000, false",
        "false, 3400, false",
        "false, 3500, true",
        "true, 1800, false",
        "true, 2200, false",
        "true, 2300, true",
        "true, 60000, true",
    })
    void takesOverOnlyAfterTheRowWasUnchangedForLongerThanTheLease(
            boolean enginesCheckTokens, long unchangedMs, boolean claims) {
        Leadership leadership = entry(enginesCheckTokens);
        StoredLease held = new StoredLease(revision(9), Optional.of(OTHERS_ROW));
        assertThat(leadership.onRead(held, 100)).isEmpty();
        Optional<LeaseClaim> claim = leadership.onRead(held, 100 + unchangedMs);
        assertThat(claim.isPresent()).isEqualTo(claims);
    }

    @ParameterizedTest
    @CsvSource({"10, 2300, true", "10, 2200, false", "11, 2300, false"})
    void rowCountsAsUnchangedSinceTheLeadersMessageAfterItsWrite(long readRevision, long readAtMs, boolean claims) {
        Leadership leadership = entry(true);
        leadership.onRead(new StoredLease(revision(9), Optional.of(OTHERS_ROW)), 0);
        leadership.onLeaderMessage(revision(10), 0);
        StoredLease read =
                new StoredLease(revision(readRevision), Optional.of(OTHERS_ROW.renewed(new FencingToken(7))));
        assertThat(leadership.onRead(read, readAtMs).isPresent()).isEqualTo(claims);
    }

    /** Guards against granting quotas by a list of entries from before a restore of the store: it may be too short. */
    @ParameterizedTest
    @CsvSource({"1, 27:0000000a", "2, ''"})
    void claimKeepsWhichEntriesMayUseQuotasUnlessTheStoreWasRestored(long era, String kept) {
        Leadership leadership = entry(true);
        LeaseRow row = new LeaseRow("b", "10.0.0.2:7000", 7, "b-1", 4, true, new StoreEra(1), "27:0000000a");
        StoredLease stored = new StoredLease(new StoreRevision(new StoreEra(era), 9), Optional.of(row));
        LeaseWrite claim = leadership
                .onRead(stored, 0)
                .or(() -> leadership.onRead(stored, LEASE_MS + 1_000))
                .orElseThrow()
                .write();
        assertThat(claim.row().quotaHolders()).isEqualTo(kept);
        assertThat(claim.row().renewed(new FencingToken(9)).quotaHolders()).isEqualTo(kept);
    }

    @Test
    void renewalRestartsTheWait() {
        Leadership leadership = entry(false);
        leadership.onRead(new StoredLease(revision(9), Optional.of(OTHERS_ROW)), 0);
        leadership.onRead(new StoredLease(revision(10), Optional.of(OTHERS_ROW.renewed(new FencingToken(7)))), 3_000);
        assertThat(leadership.onRead(new StoredLease(revision(10), Optional.of(OTHERS_ROW)), 6_000))
                .isEmpty();
    }

    /**
     * Guards against a claim of a live leader's lease after its address refused a connection, when that was before the
     * row was written, to another process, or followed by a connection.
     */
    @ParameterizedTest
    @CsvSource({
        "10.0.0.2:7000, 100, 9, false, true",
        "10.0.0.3:7000, 100, 9, false, false",
        "10.0.0.2:7000, 99, 9, false, false",
        "10.0.0.2:7000, 100, 10, false, false",
        "10.0.0.2:7000, 100, 9, true, false",
    })
    void refusedConnectionFreesOnlyTheRowThatWasKnownWhenItWasMade(
            String refusing, long startedAtMs, long readRevision, boolean acceptedLater, boolean claims) {
        Leadership leadership = entry(true);
        leadership.onRead(new StoredLease(revision(9), Optional.of(OTHERS_ROW)), 100);
        leadership.onConnectionAttempt(new ConnectionAttempt(refusing, startedAtMs, true));
        if (acceptedLater) {
            leadership.onConnectionAttempt(new ConnectionAttempt(refusing, 300, false));
        }
        leadership.onReadSent(1_300);
        StoredLease read = new StoredLease(revision(readRevision), Optional.of(OTHERS_ROW));
        assertThat(leadership.onRead(read, 1_300).isPresent()).isEqualTo(claims);
    }

    /**
     * Guards against a takeover from a live leader whose host refuses connections: it may still order where engines
     * check no tokens, and renews its lease where the store answers it.
     */
    @ParameterizedTest
    @CsvSource({
        "true, 900, false",
        "true, 1000, false",
        "true, 1100, true",
        "false, 1100, false",
        "false, 3400, false",
        "false, 3500, true",
    })
    void refusedConnectionReplacesTheWaitOnlyWhereEnginesCheckTokensAndARenewalIsMissing(
            boolean enginesCheckTokens, long unchangedMs, boolean claims) {
        Leadership leadership = entry(enginesCheckTokens);
        StoredLease held = new StoredLease(revision(9), Optional.of(OTHERS_ROW));
        leadership.onRead(held, 100);
        leadership.onConnectionAttempt(new ConnectionAttempt("10.0.0.2:7000", 200, true));
        assertThat(leadership.onRead(held, 100 + unchangedMs).isPresent()).isEqualTo(claims);
    }

    /** Guards against two entries that take turns within a lease, by planned stops, where engines check no tokens. */
    @ParameterizedTest
    @CsvSource({
        "false, b, 3000, false",
        "false, b, 3001, true",
        "false, a, 0, true",
        "true, b, 0, true",
    })
    void startedEntryDoesNotClaimAnothersReleasedLeaseAtOnceWhereEnginesCheckNoTokens(
            boolean enginesCheckTokens, String holder, long startedForMs, boolean claims) {
        Leadership leadership = entry(enginesCheckTokens);
        LeaseRow row = new LeaseRow(holder, ADDRESS, 7, "x-0", 4, true, StoreEra.NONE);
        StoredLease released = new StoredLease(revision(9), Optional.of(row));
        assertThat(leadership.onRead(released, startedForMs).isPresent()).isEqualTo(claims);
    }

    /** The same for an entry that led until the end of its lease, 2.6 s after the write, or later. */
    @ParameterizedTest
    @CsvSource({"5600, false", "5601, true"})
    void leaderDoesNotClaimAnothersReleasedLeaseWithinTheDurationOfItsOwn(long atMs, boolean claims) {
        Leadership leadership = leader(false);
        leadership.stepDown();
        StoredLease released = new StoredLease(revision(9), Optional.of(OTHERS_ROW.release()));
        assertThat(leadership.onRead(released, atMs).isPresent()).isEqualTo(claims);
    }

    /**
     * Guards against a leader that claims its lease again after a restore of the store although it was suspended for
     * longer than its lease, so that another one may lead by a row that the restore has lost.
     */
    @ParameterizedTest
    @CsvSource({"false, 500, 500, true", "false, 500, 6000, false", "false, 6000, 6000, false", "true, 500, 6000, true"
    })
    void leaderClaimsItsLeaseAgainAfterARestoreOnlyIfItMustStillHoldIt(
            boolean enginesCheckTokens, long steadyMs, long wallMs, boolean claims) {
        Leadership leadership = leader(enginesCheckTokens);
        leadership.renewal(1_000);
        leadership.check(steadyMs, WALL_MS + wallMs);
        StoredLease restored = new StoredLease(new StoreRevision(new StoreEra(1), 4), Optional.of(OTHERS_ROW));
        assertThat(leadership.onRead(restored, steadyMs).isPresent()).isEqualTo(claims);
    }

    @Test
    void restartedEntryTakesOverFromItself() {
        Leadership leadership = entry(true);
        LeaseRow own = new LeaseRow("a", ADDRESS, 7, "a-0", 4, false, StoreEra.NONE);
        LeaseWrite claim = leadership
                .onRead(new StoredLease(revision(9), Optional.of(own)), 0)
                .orElseThrow()
                .write();
        assertThat(claim.row().token()).isGreaterThan(own.token());
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void stopsOrderingBeforeTheLeaseEndsIfTheRenewalIsInFlight(boolean enginesCheckTokens) {
        long lastMs = enginesCheckTokens ? 1_400 : 2_600;
        Leadership leadership = leader(enginesCheckTokens);
        run(leadership, 50, 1_000);
        assertThat(leadership.renewal(1_000)).isPresent();
        run(leadership, 1_050, lastMs + 100);
        assertThat(leadership.mayOrder(lastMs - 50, WALL_MS + lastMs - 50)).isTrue();
        assertThat(leadership.mayOrder(lastMs + 50, WALL_MS + lastMs + 50)).isFalse();
    }

    /** Runs a leader to a time, all of whose renewals time out. */
    private static void runWithoutStore(Leadership leadership, long untilMs, boolean enginesAnswer) {
        long sentAtMs = -1;
        for (long ms = 50; ms <= untilMs; ms += 50) {
            if (leadership.shouldProbeEngine(ms)) {
                leadership.onEngineProbed(ms);
                if (enginesAnswer) {
                    leadership.onEngineAnswered(ms);
                }
            }
            leadership.check(ms, WALL_MS + ms);
            if (leadership.renewal(ms).isPresent()) {
                sentAtMs = ms;
            }
            if (ms == sentAtMs + WRITE_TIMEOUT_MS) {
                leadership.onWriteOutcomeUnknown(sentAtMs, ms);
            }
        }
    }

    @ParameterizedTest
    @CsvSource({"true, true", "false, false"})
    void continuesWithoutTheStoreOnlyIfEnginesCheckTokens(boolean enginesCheckTokens, boolean orders) {
        Leadership leadership = leader(enginesCheckTokens);
        runWithoutStore(leadership, 10_000, true);
        assertThat(leadership.mayOrder(10_000, WALL_MS + 10_000)).isEqualTo(orders);
    }

    /** Guards against a leader that has filled its link, reaches nobody, and keeps all entries from another one. */
    @Test
    void stopsLeadingWithinThreeSecondsWithoutTheStoreAndWithoutAnswersOfEngines() {
        Leadership leadership = leader(true);
        runWithoutStore(leadership, 3_000, false);
        assertThat(leadership.mayOrder(3_000, WALL_MS + 3_000)).isFalse();
        assertThat(leadership.leading()).isFalse();
    }

    /** Guards against needless requests to engines, and against a leader that never asks them. */
    @ParameterizedTest
    @CsvSource({"false, false", "true, true"})
    void enginesAreProbedOnlyIfTheStoreDoesNotAnswer(boolean storeLost, boolean probed) {
        Leadership leadership = leader(true);
        run(leadership, 50, 600);
        LeaseWrite renewal = leadership.renewal(600).orElseThrow();
        run(leadership, 650, 1_200);
        if (storeLost) {
            leadership.onWriteOutcomeUnknown(600, 1_200);
        } else {
            leadership.onWritten(renewal, revision(6), 600, WALL_MS + 600);
        }
        assertThat(leadership.shouldProbeEngine(1_200)).isEqualTo(probed);
    }

    @Test
    void suspendedLeaderSendsNoOrdersBeforeItHasRenewed() {
        Leadership leadership = leader(true);
        run(leadership, 50, 1_000);
        assertThat(leadership.renewal(1_000)).isPresent();
        leadership.onWriteOutcomeUnknown(1_000, 6_000);
        leadership.check(6_000, WALL_MS + 6_000);
        assertThat(leadership.mayOrder(6_000, WALL_MS + 6_000)).isFalse();
    }

    @Test
    void leaderSuspendedWithItsSteadyClockRenewsFirst() {
        Leadership leadership = leader(true);
        long wallAfterSuspensionMs = WALL_MS + 300 + 9_000;
        run(leadership, 50, 250);
        leadership.check(300, wallAfterSuspensionMs);
        assertThat(leadership.mayOrder(300, wallAfterSuspensionMs)).isFalse();
        LeaseWrite renewal = leadership.renewal(300).orElseThrow();
        leadership.onWritten(renewal, revision(6), 300, wallAfterSuspensionMs);
        assertThat(leadership.mayOrder(310, wallAfterSuspensionMs + 10)).isTrue();
    }

    /**
     * Guards against an entry that stays with a leader which sends heartbeats but has lost the store, while another one
     * leads, and against reads of the row by all entries while the leader renews.
     */
    @ParameterizedTest
    @CsvSource({"true, true, false", "true, false, true", "false, false, false"})
    void followerOfALeaderThatDoesNotRenewReadsTheRow(boolean enginesCheckTokens, boolean renews, boolean reads) {
        Leadership leadership = entry(enginesCheckTokens);
        leadership.onRead(new StoredLease(revision(9), Optional.of(OTHERS_ROW)), 0);
        boolean read = false;
        for (long ms = 300; ms <= 6_000; ms += 300) {
            leadership.onLeaderMessage(revision(renews ? 9 + ms : 9), ms);
            read |= leadership.shouldRead(true, ms);
        }
        assertThat(read).isEqualTo(reads);
    }

    /** Guards against an entry that claims the lease of a living leader, or misses a newer one that the row names. */
    @Test
    void rowThatIsReadWhileFollowingNamesTheNewerLeaderAndIsNotClaimed() {
        Leadership leadership = entry(true);
        leadership.onRead(new StoredLease(revision(9), Optional.of(OTHERS_ROW)), 0);
        leadership.onReadSent(4_000);
        leadership.onReadWhileFollowing(new StoredLease(revision(9), Optional.of(OTHERS_ROW)), 4_010);
        assertThat(leadership.shouldRead(true, 4_900)).isFalse();
        assertThat(leadership.shouldRead(true, 5_000)).isTrue();
        LeaseRow newer = new LeaseRow("c", "10.0.0.3:7000", 12, "c-1", 1, false, StoreEra.NONE);
        leadership.onReadSent(5_000);
        leadership.onReadWhileFollowing(new StoredLease(revision(13), Optional.of(newer)), 5_010);
        assertThat(leadership.seen().row()).isEqualTo(Optional.of(newer));
        assertThat(leadership.leading()).isFalse();
        assertThat(leadership.onLeaderToken(new FencingToken(7))).isFalse();
        assertThat(leadership.onLeaderToken(new FencingToken(12))).isTrue();
    }

    /** Guards against entries that follow an older leader again, or none where tokens are not used. */
    @ParameterizedTest
    @CsvSource({"true, 7, 8, true", "true, 8, 8, true", "true, 8, 7, false", "false, 8, 7, true"})
    void leaderIsFollowedUnlessANewerTokenIsKnown(
            boolean enginesCheckTokens, long heard, long token, boolean followed) {
        Leadership leadership = entry(enginesCheckTokens);
        leadership.onLeaderToken(new FencingToken(heard));
        assertThat(leadership.onLeaderToken(new FencingToken(token))).isEqualTo(followed);
    }

    @Test
    void stepsDownWhenAnotherEntryHasTheLease() {
        Leadership leadership = leader(true);
        LeaseWrite renewal = leadership.renewal(1_000).orElseThrow();
        leadership.onConflict(new StoredLease(revision(8), Optional.of(OTHERS_ROW)), renewal, 1_010);
        assertThat(leadership.leading()).isFalse();
        assertThat(leadership.mayOrder(1_020, WALL_MS + 1_020)).isFalse();
    }

    @Test
    void staysLeaderWhenItsOwnUnansweredRenewalWasWritten() {
        Leadership leadership = leader(true);
        run(leadership, 50, 1_000);
        LeaseWrite renewal = leadership.renewal(1_000).orElseThrow();
        leadership.onWriteOutcomeUnknown(1_000, 1_500);
        LeaseWrite again = leadership.renewal(1_800).orElseThrow();
        leadership.onConflict(new StoredLease(revision(6), Optional.of(renewal.row())), again, 1_810);
        assertThat(leadership.leading()).isTrue();
        assertThat(leadership.renewal(1_810).orElseThrow().expected().number()).isEqualTo(6);
    }

    @Test
    void releasesTheLeaseWhenStopped() {
        Leadership leadership = leader(true);
        LeaseWrite release = leadership.resign().orElseThrow();
        assertThat(release.row().released()).isTrue();
        assertThat(release.expected().number()).isEqualTo(5);
        assertThat(leadership.mayOrder(10, WALL_MS + 10)).isFalse();
        assertThat(leadership.shouldRead(false, 10_000)).isFalse();
    }
}
