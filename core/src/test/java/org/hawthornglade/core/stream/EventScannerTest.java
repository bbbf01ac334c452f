package org.hawthornglade.core.stream;

import static com.google.common.truth.Truth.assertThat;

import java.nio.charset.StandardCharsets;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class EventScannerTest {
    /** {@code |} stands for LF and {@code ^} for CR. */
    private static EventScanner scan(String text) {
        EventScanner scanner = new EventScanner();
        for (byte value : text.replace('|', '\n').replace('^', '\r').getBytes(StandardCharsets.UTF_8)) {
            scanner.add(value);
        }
        return scanner;
    }

    @ParameterizedTest
    @CsvSource({
        "'', false",
        "'|', false",
        "'data: x||', false",
        "'data: x^|^|', false",
        "'data: x^|^', false",
        "'data: x^^', false",
        "'data: x|^|', false",
        "'data: x^||', false",
        "'data: x||||', false",
        "'id: 1|data: x||id: 2|data: y||', false",
        "': comment|', false",
        "': comment||', false",
        "'data: x||: comment|', false",
        "'data: x||^|', false",
        "'d', true",
        "'data: x', true",
        "'data: x|', true",
        "'data: x^', true",
        "'data: x^|', true",
        "'data: x|^|id', true",
        "'id: 1|', true",
        "': comm', true",
        "'data: x|: comment|', true",
        "'data: x||: comment|d', true",
        "'data: x||id: 2|data: y|', true",
    })
    void tellsWhetherTheStreamIsInsideAnEvent(String text, boolean inside) {
        assertThat(scan(text).insideEvent()).isEqualTo(inside);
    }
}
