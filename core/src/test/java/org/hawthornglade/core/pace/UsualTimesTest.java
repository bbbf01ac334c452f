package org.hawthornglade.core.pace;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class UsualTimesTest {
    private final UsualTimes times = new UsualTimes();

    /** Large models run at 0.23 to 0.35 of the usual speed and made each of their servers look overloaded. */
    @ParameterizedTest
    @ValueSource(doubles = {0.23, 0.35, 1, 1.2})
    void timeOfAModelIsLearned(double speed) {
        for (int i = 0; i < 100; i++) {
            times.onResponse("large", 100 / speed, 100);
        }
        assertThat(times.factor("large")).isWithin(0.1 / speed).of(1 / speed);
        assertThat(times.factor("other")).isEqualTo(1);
    }

    /** A single late response must not change what is expected of all servers. */
    @Test
    void singleLateResponseChangesLittle() {
        for (int i = 0; i < 200; i++) {
            times.onResponse("m", 100, 100);
        }
        times.onResponse("m", 10_000, 100);
        assertThat(times.factor("m")).isWithin(0.1).of(1);
    }

    /** Callers choose model names, so that their number must not grow without a bound. */
    @Test
    void numberOfKindsIsBounded() {
        for (int i = 0; i < 10_000; i++) {
            times.onResponse("m" + i, 200, 100);
        }
        assertThat(times.factor("m0")).isGreaterThan(1.0);
        assertThat(times.factor("m9999")).isEqualTo(1);
    }
}
