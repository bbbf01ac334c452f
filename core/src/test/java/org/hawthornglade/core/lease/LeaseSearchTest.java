package org.hawthornglade.core.lease;

import static com.google.common.truth.Truth.assertWithMessage;

import java.util.EnumSet;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Stream;
import org.hawthornglade.core.lease.SimulatedLeases.Disruption;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Searches seeded orders of events for leaders whose orders overlap, and for a lease that nobody takes over. */
class LeaseSearchTest {
    private static final int SEEDS = 150;
    private static final long DISRUPTED_MS = 60_000;
    /** Longer than all disruptions, and a lease and its margin after them. */
    private static final long CALM_MS = 15_000;

    /** A lease, its margin, the interval between two reads, a check, and the calls to the store. */
    private static final long TAKEOVER_MS = 3_000 + 400 + 300 + 100;

    private static final long FENCED_TAKEOVER_MS = TAKEOVER_MS - 1_200;
    /** How long a leader that stands still is not missed; it may have written the row after its last message. */
    private static final long SILENCE_MS = 1_200;

    private static final long FREEZE_MS = 10_000;

    private static Stream<Arguments> searches() {
        return Stream.of(false, true)
                .flatMap(enginesCheckTokens -> Stream.of(
                                EnumSet.of(Disruption.RESTART_LATER, Disruption.FREEZE),
                                EnumSet.of(Disruption.RESTART_LATER, Disruption.STORE_LOST_FOR_ONE),
                                EnumSet.of(Disruption.RESTART_AT_ONCE, Disruption.STORE_SLOW),
                                EnumSet.of(Disruption.CONNECTIONS_REFUSED),
                                EnumSet.of(
                                        Disruption.PLANNED_STOP, Disruption.RESTART_AT_ONCE, Disruption.RESPONSES_LOST),
                                EnumSet.of(Disruption.STORE_RESTORED, Disruption.FREEZE, Disruption.STORE_LOST_FOR_ONE),
                                EnumSet.allOf(Disruption.class))
                        .map(disruptions -> Arguments.of(enginesCheckTokens, disruptions)));
    }

    /**
     * Guards against a claim of a lease in force, on the strength of a sign that is old, about another process, or
     * false; and against a lease that is not taken over in time after its holder has ended.
     */
    @ParameterizedTest
    @MethodSource("searches")
    void leadersDoNotOverlapAndTheLeaseIsTakenOverInTime(boolean enginesCheckTokens, Set<Disruption> disruptions) {
        for (long seed = 1; seed <= SEEDS; seed++) {
            SimulatedLeases leases = new SimulatedLeases(seed, enginesCheckTokens);
            leases.runWith(disruptions, DISRUPTED_MS);
            leases.run(CALM_MS);
            assertWithMessage("seed %s", seed).that(leases.fault()).isEqualTo(Optional.empty());
            assertTakenOverInTime(leases, seed);
        }
    }

    /** Guards against a new placement by another leader whenever the host of a live one refuses connections. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void refusedConnectionsCostALiveLeaderNothing(boolean enginesCheckTokens) {
        for (long seed = 1; seed <= SEEDS; seed++) {
            SimulatedLeases leases = new SimulatedLeases(seed, enginesCheckTokens);
            leases.runWith(EnumSet.of(Disruption.CONNECTIONS_REFUSED), DISRUPTED_MS);
            assertWithMessage("seed %s, leases", seed).that(leases.leasesUsed()).isEqualTo(1);
        }
    }

    /** Ends the leader, or lets it stand still, which its host hides: it accepts connections. */
    private static void assertTakenOverInTime(SimulatedLeases leases, long seed) {
        Optional<SimulatedEntry> leader = leases.leader();
        assertWithMessage("seed %s, leads", seed).that(leader.isPresent()).isTrue();
        boolean frozen = seed % 2 == 0;
        if (frozen) {
            leader.get().freeze(FREEZE_MS, false);
        } else {
            leader.get().kill();
        }
        long limitMs = (leases.enginesCheckTokens ? FENCED_TAKEOVER_MS : TAKEOVER_MS) + (frozen ? SILENCE_MS : 0);
        assertWithMessage("seed %s, time without a leader in ms", seed)
                .that(leases.timeToOrderMs(limitMs))
                .isAtMost(limitMs);
    }
}
