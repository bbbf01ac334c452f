package org.hawthornglade.app.load;

import static com.google.common.truth.Truth.assertThat;

import java.util.Comparator;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

final class ArrivalScheduleTest {
    private static final long NANOS_PER_MS = 1_000_000;

    @ParameterizedTest
    @CsvSource({"10, 100000", "200, 10000", "2000, 5000"})
    void generatesPoissonArrivalsAtTheConfiguredRate(double ratePerSecond, long durationMs) {
        LoadSettings settings =
                TestFlows.settings(TestFlows.UNREACHABLE, durationMs, TestFlows.chat("a", ratePerSecond, true));

        List<Arrival> arrivals = ArrivalSchedule.of(settings);

        double expected = ratePerSecond * durationMs / 1_000;
        assertThat((double) arrivals.size()).isWithin(5 * Math.sqrt(expected)).of(expected);
        assertThat(arrivals).isInOrder(Comparator.comparingLong(Arrival::dueNanos));
        assertThat(arrivals.stream().map(Arrival::model).distinct()).containsExactly(0, 1);
        long shortGaps = 0;
        for (int i = 1; i < arrivals.size(); i++) {
            long gapNanos = arrivals.get(i).dueNanos() - arrivals.get(i - 1).dueNanos();
            shortGaps += gapNanos * ratePerSecond < 0.1e9 ? 1 : 0;
        }
        // For the exponential distribution, 9.5 % of the gaps are shorter than a tenth of the mean.
        assertThat(shortGaps / expected).isWithin(0.05).of(0.095);
    }

    @Test
    void sameSeedGivesTheSameSchedule() {
        LoadSettings settings = TestFlows.settings(TestFlows.UNREACHABLE, 5_000, TestFlows.chat("a", 50, true));

        assertThat(ArrivalSchedule.of(settings)).isEqualTo(ArrivalSchedule.of(settings));
    }

    @Test
    void schedulesTheRequestsOfABurstAtTheSameTime() {
        List<Arrival> arrivals = ArrivalSchedule.of(
                TestFlows.settings(TestFlows.UNREACHABLE, 2_000, TestFlows.bursts("cold", 1_000, 20)));

        assertThat(arrivals).hasSize(40);
        assertThat(arrivals.stream().map(Arrival::dueNanos).distinct())
                .containsExactly(0L, 1_000 * NANOS_PER_MS)
                .inOrder();
    }

    @Test
    void arrivalsDuringWarmUpAreNotMeasured() {
        LoadSettings settings = new LoadSettings(
                List.of(TestFlows.UNREACHABLE),
                null,
                List.of(),
                1,
                1_000,
                1_000,
                0,
                List.of(TestFlows.bursts("b", 500, 1)));

        assertThat(ArrivalSchedule.of(settings).stream().map(Arrival::measured))
                .containsExactly(false, false, true, true)
                .inOrder();
    }
}
