package org.hawthornglade.core.limit;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against raising the other entries' shares when one has been silent for 3 s but may still send requests. */
class EntryCountTest {
    @ParameterizedTest
    @CsvSource({"4, 8, 100, 8", "8, 4, 3000, 8", "8, 4, 60000, 8", "8, 4, 60001, 4", "8, 0, 60001, 1"})
    void decreaseTakesEffectOnlyAfterTheHoldTime(int first, int then, long laterMs, int entries) {
        EntryCount count = new EntryCount();
        count.onReported(first, 1_000);
        count.onReported(then, 1_000 + laterMs);
        assertThat(count.entries()).isEqualTo(entries);
    }
}
