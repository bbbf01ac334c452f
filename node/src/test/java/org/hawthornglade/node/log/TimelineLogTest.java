package org.hawthornglade.node.log;

import static com.google.common.truth.Truth.assertThat;

import org.hawthornglade.core.event.EventKind;
import org.hawthornglade.core.event.TimelineEvent;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

final class TimelineLogTest {
    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            quoteCharacter = '`',
            value = {
                "idle | detail=idle",
                "waited 12 ms | detail=\"waited 12 ms\"",
                "a=b | detail=\"a=b\"",
                "say \"no\" | detail=\"say \\\"no\\\"\"",
            })
    void quotesValuesThatWouldBreakTheLine(String detail, String expected) {
        assertThat(TimelineLog.line(event(detail))).endsWith(expected);
    }

    @ParameterizedTest
    @CsvSource({"'line\nbreak'", "'carriage\rreturn'"})
    void keepsAnEventOnOneLine(String detail) {
        assertThat(TimelineLog.line(event(detail)).lines().count()).isEqualTo(1);
    }

    private static TimelineEvent event(String detail) {
        return new TimelineEvent(
                1, "entry-1", 1, 7, EventKind.REQUEST_REFUSED, "r-1", null, "guide", null, 3, 2001, detail);
    }
}
