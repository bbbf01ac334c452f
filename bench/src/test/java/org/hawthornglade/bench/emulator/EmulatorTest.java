package org.hawthornglade.bench.emulator;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class EmulatorTest {
    private static final int SECONDS = 30;

    private static List<EmulatorResult> runs(int entries, int seeds, boolean faults) {
        List<EmulatorResult> results = new ArrayList<>();
        for (int seed = 1; seed <= seeds; seed++) {
            results.add(Emulator.run(new EmulatorOptions(seed, entries, SECONDS, faults)));
        }
        return results;
    }

    /** LIMIT: guards against entries that together send as much as before to an endpoint that advertises a limit. */
    @ParameterizedTest(name = "{0} entries, {1} seeds, faults: {2}")
    @CsvSource({"4, 20, false", "4, 20, true", "31, 20, true", "300, 2, true"})
    void endpointsReceiveNoMoreThanTheirAdvertisedLimit(int entries, int seeds, boolean faults) {
        int violations = runs(entries, seeds, faults).stream()
                .mapToInt(EmulatorResult::limitBreaks)
                .sum();
        assertThat(violations).isEqualTo(0);
    }

    /** DRAIN and BUDGET: guards against requests to a leaving or paused server from an entry that it had notified. */
    @ParameterizedTest(name = "{0} entries, {1} seeds")
    @CsvSource({"4, 20", "31, 20", "300, 2"})
    void leavingAndPausedEndpointsReceiveNoFurtherRequests(int entries, int seeds) {
        for (EmulatorResult result : runs(entries, seeds, true)) {
            assertWithMessage("leaving").that(result.drainBreaks()).isEqualTo(0);
            assertWithMessage("shut").that(result.budgetBreaks()).isEqualTo(0);
        }
    }

    @Test
    void theSameSeedGivesTheSameRun() {
        EmulatorOptions options = new EmulatorOptions(7, 4, SECONDS, true);
        assertThat(Emulator.run(options)).isEqualTo(Emulator.run(options));
    }
}
