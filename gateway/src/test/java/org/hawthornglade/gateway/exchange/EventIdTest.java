package org.hawthornglade.gateway.exchange;

import static com.google.common.truth.Truth.assertThat;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
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

    /** {@code |} stands for LF and {@code ^} for CR. */
    @ParameterizedTest
    @CsvSource({
        "'id: 4|data: x||', 4",
        "'id:4|data: x||', 4",
        "'data: x|id: 4||', 4",
        "'id: 3|id: 4|data: x||', 4",
        "'id: 4^|data: x^|^', 4",
        "'data: id: 4||', none",
        "'id:|data: x||', none",
        "'data: x||', none",
    })
    void lastIdLineOfAnEventCounts(String event, String expected) {
        ByteBuf bytes = Unpooled.copiedBuffer(event.replace('|', '\n').replace('^', '\r'), StandardCharsets.UTF_8);
        assertThat(EventId.read(bytes, 0, bytes.writerIndex())
                        .map(EventId::text)
                        .orElse("none"))
                .isEqualTo(expected);
    }
}
