package org.hawthornglade.core.stream;

import static com.google.common.truth.Truth.assertThat;

import java.util.Set;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class NumberedEventRuleTest {
    private final NumberedEventRule rule = new NumberedEventRule(Set.of("x-weights"));

    /** {@code |} stands for LF, {@code ^} for CR and {@code ~} for NUL. */
    @ParameterizedTest
    @CsvSource({
        "'id: 4|data: x||', none",
        "'id:4|data:x||', none",
        "'id: 007|data: x||', none",
        "'id: 18446744073709551616|data: x||', none",
        "'data: x|id: 4||', none",
        "'data: x|id: 4|data: y||', none",
        "'id: 4|data:||', none",
        "'id: 4|data: id: 3||', none",
        "'event: t|id: 4|data: x||', none",
        "'id: 4|: comment|data: x||', none",
        "'id: 4|retry: 100|data: x||', none",
        "'retry: 100||', none",
        "'x-weights: 2|id: 4|data: x||', none",
        "': comment|x-weights: 2|id: 4|data: x||', none",
        "'data: x||', NO_ID",
        "'event: t||', NO_ID",
        "'x-weights: 2||', NO_ID",
        "'id|data: x||', UNKNOWN_FIELD",
        "'id:|data: x||', EMPTY_ID",
        "'id:    |data: x||', EMPTY_ID",
        "'id: four|data: x||', ID_NOT_A_NUMBER",
        "'id: -4|data: x||', ID_NOT_A_NUMBER",
        "'id: +4|data: x||', ID_NOT_A_NUMBER",
        "'id: 4.0|data: x||', ID_NOT_A_NUMBER",
        "'id: 4 |data: x||', ID_NOT_A_NUMBER",
        "'id:  4|data: x||', ID_NOT_A_NUMBER",
        "'id: 4~|data: x||', ID_NOT_A_NUMBER",
        "'id: ٤|data: x||', ID_NOT_A_NUMBER",
        "'id: 3|id: 4|data: x||', SEVERAL_IDS",
        "'id: 4|id:|data: x||', SEVERAL_IDS",
        "'id: 4||', NO_DATA",
        "'id: 4|data||', UNKNOWN_FIELD",
        "'id: 4|event: t||', NO_DATA",
        "'ID: 4|data: x||', UNKNOWN_FIELD",
        "'id : 4|data: x||', UNKNOWN_FIELD",
        "' id: 4|data: x||', UNKNOWN_FIELD",
        "'#id: 4|data: x||', UNKNOWN_FIELD",
        "'\uFEFFid: 4|data: x||', UNKNOWN_FIELD",
        "'other|id: 4|data: x||', UNKNOWN_FIELD",
        "'other: 1|id: 4|data: x||', UNKNOWN_FIELD",
        "'~~~^^', UNKNOWN_FIELD",
        "'X-Weights: 2|id: 4|data: x||', UNKNOWN_FIELD",
        "'x-weights: new|id: 4|data: x||', INVALID_FIELD",
        "'x-weights:|id: 4|data: x||', INVALID_FIELD",
        "'id: 4|x-weights: 2|data: x||', INVALID_FIELD",
        "'x-weights: 2|x-weights: 3|id: 4|data: x||', INVALID_FIELD",
        "'retry: soon||', INVALID_FIELD",
        "'retry: -1|id: 4|data: x||', INVALID_FIELD",
        "'HTTP/1.1 200 OK^|Content-Length: 5^|^|', STATUS_LINE",
        "'id: 4|HTTP/1.1 200 OK|data: x||', STATUS_LINE",
        "'Content-Length: 5^|^|', UNKNOWN_FIELD",
        "'id: 4^|data: x^|^|', none",
        "'id: 4^data: x||', LONE_CR",
        "'id: 4|data: x^^', LONE_CR",
        "': c^id: 4|data: x||', LONE_CR",
    })
    void tellsWhyAnEventIsNotAPartOfAStream(String text, String expected) {
        StreamEvent event =
                StreamEvent.read(text.replace('|', '\n').replace('^', '\r').replace('~', '\0'));
        assertThat(rule.defect(event).map(Enum::name).orElse("none")).isEqualTo(expected);
    }
}
