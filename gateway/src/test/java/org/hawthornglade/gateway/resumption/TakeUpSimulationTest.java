package org.hawthornglade.gateway.resumption;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.stream.Stream;
import org.hawthornglade.gateway.resumption.TakeUpSimulation.Release;
import org.hawthornglade.gateway.resumption.TakeUpSimulation.Trouble;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;

/** Orders of events around releases, by seed in virtual time. */
class TakeUpSimulationTest {
    /** More of both by hand: {@code -Dsimulation.entries=31 -Dsimulation.seeds=50}. */
    private static final int ENTRIES = Integer.getInteger("simulation.entries", 4);

    private static final int SEEDS = Integer.getInteger("simulation.seeds", 10);
    /** Share of the streams that callers take up which must go on under a single fault. */
    private static final double MIN_CONTINUED_SHARE = 0.9;

    static Stream<Arguments> orders() {
        return Stream.of(Release.values())
                .flatMap(release -> Stream.of(Trouble.values()).map(trouble -> Arguments.of(release, trouble)));
    }

    /** Callers got streams joined from two versions after entries had been killed, cut off or had stood still. */
    @ParameterizedTest(name = "{0} {1}")
    @MethodSource("orders")
    void noStreamGoesOnAtAnotherVersion(Release release, Trouble trouble) {
        for (int seed = 1; seed <= SEEDS; seed++) {
            TakeUpSimulation simulation = new TakeUpSimulation(ENTRIES, release, trouble, seed);
            simulation.run();
            assertThat(simulation.begun()).isAtLeast(100);
            assertWithMessage("seed %s", seed).that(simulation.joined()).isEqualTo(0);
        }
    }

    /** A refusal of all streams that are taken up would keep versions apart, and serve nobody. */
    @ParameterizedTest(name = "{0} {1}")
    @CsvSource({
        "HALF_WAY, ONE_KILLED",
        "HALF_WAY, ALL_KILLED",
        "FORMER_GONE, ONE_KILLED",
        "FORMER_GONE, ALL_KILLED",
        "TWO_FOR_LONG, ONE_KILLED",
        "TWO_FOR_LONG, ALL_KILLED",
        "TWO_FOR_LONG, TAKER_STOOD_STILL",
        "HALF_WAY, TAKER_STOOD_STILL"
    })
    void nearlyAllStreamsGoOn(Release release, Trouble trouble) {
        int takenUp = 0;
        int continued = 0;
        for (int seed = 1; seed <= SEEDS; seed++) {
            TakeUpSimulation simulation = new TakeUpSimulation(ENTRIES, release, trouble, seed);
            simulation.run();
            takenUp += simulation.takenUp();
            continued += simulation.continued();
        }
        assertThat(takenUp).isAtLeast(12 * SEEDS);
        assertWithMessage("%s of %s", continued, takenUp)
                .that((double) continued / takenUp)
                .isAtLeast(MIN_CONTINUED_SHARE);
    }
}
