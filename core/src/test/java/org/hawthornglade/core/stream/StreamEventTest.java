package org.hawthornglade.core.stream;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class StreamEventTest {
    /** {@code |} stands for LF and {@code ^} for CR. */
    private static StreamEvent read(String text) {
        return StreamEvent.read(text.replace('|', '\n').replace('^', '\r'));
    }

    @ParameterizedTest
    @CsvSource({
        "'id: 4|data: x||', 4",
        "'id:4|data: x||', 4",
        "'data: x|id: 4||', 4",
        "'id: 3|id: 4|data: x||', 4",
        "'id: 4^|data: x^|^|', 4",
        "'id: 4^data: x^^', 4",
        "'id:  4|data: x||', ' 4'",
        "'id|data: x||', ''",
        "'id:|data: x||', ''",
        "': id: 5|data: x||', none",
        "'data: id: 4||', none",
        "'ID: 4|data: x||', none",
        "'id : 4|data: x||', none",
        "'data: x||', none",
    })
    void lastIdFieldOfAnEventCounts(String event, String expected) {
        assertThat(read(event).id().orElse("none")).isEqualTo(expected);
    }

    @ParameterizedTest
    @CsvSource({
        "'', false",
        "'|', false",
        "'^|^|', false",
        "': comment|', false",
        "':|:||', false",
        "'retry: 1||', false",
        "': comment|retry: 1||', false",
        "' |', true",
        "'data|', true",
        "': comment|id: 1||', true",
    })
    void commentsEmptyLinesAndRetryTimesAreNoContent(String event, boolean content) {
        assertThat(read(event).hasContent()).isEqualTo(content);
    }

    @ParameterizedTest
    @CsvSource({
        "'id: 1|data: x||', false",
        "'id: 1^|data: x^|^|', false",
        "'id: 1^|data: x||', false",
        "'id: 1^data: x||', true",
        "'id: 1|data: x^^', true",
        "'id: 1^|data: x^|^', true",
        "': c^id: 1|data: x||', true",
    })
    void lineThatEndsWithCrAloneIsNoticed(String event, boolean loneCr) {
        assertThat(read(event).hasLoneCr()).isEqualTo(loneCr);
    }

    @ParameterizedTest
    @CsvSource({
        "'data: x', data, x, true",
        "'data:x', data, x, true",
        "'data:  x', data, ' x', true",
        "'data: a: b', data, 'a: b', true",
        "'data:', data, '', true",
        "'data', data, '', false",
    })
    void lineIsSplitAtItsFirstColon(String line, String name, String value, boolean hasColon) {
        assertThat(EventField.of(line)).isEqualTo(new EventField(name, value, hasColon));
    }
}
