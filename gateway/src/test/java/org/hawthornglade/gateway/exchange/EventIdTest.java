package org.hawthornglade.gateway.exchange;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class EventIdTest {
    @ParameterizedTest
    @CsvSource({
        "1, 2, true",
        "2, 2, false",
        "2, 1, false",
        "9, 10, true",
        "10, 9, false",
        "0, 0, false",
        "0, 1, true",
        "007, 7, false",
        "7, 008, true",
        "18446744073709551615, 18446744073709551616, true",
        "18446744073709551616, 18446744073709551615, false",
        "9223372036854775807, 9223372036854775808, true",
        "a, b, true",
        "b, a, true",
        "a, a, false",
        "1, a, true",
        "a, 1, true",
        "-1, -2, true",
    })
    void numbersMustIncreaseAndOtherIdsMustDiffer(String last, String next, boolean expected) {
        assertThat(new EventId(next).mayFollow(new EventId(last))).isEqualTo(expected);
    }
}
