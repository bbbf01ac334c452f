package org.hawthornglade.gateway.exchange;

import static com.google.common.truth.Truth.assertThat;

import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.hawthornglade.core.stream.EventRule;
import org.hawthornglade.core.stream.NumberedEventRule;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class EventSplitterTest {
    /** A rule of streams of which any event is a part. */
    private static final EventRule ANY_EVENT = event -> Optional.empty();

    private static String add(EventSplitter splitter, String text) {
        return splitter.add(Unpooled.copiedBuffer(text, StandardCharsets.UTF_8)).toString(StandardCharsets.UTF_8);
    }

    /** {@code |} stands for LF and {@code ^} for CR. */
    private static String lines(String text) {
        return text.replace('|', '\n').replace('^', '\r');
    }

    @ParameterizedTest
    @CsvSource({
        "'id: 4|data: x||', 'id: 4|data: x||', 4",
        "'id: 4|data: x||id: 5|data', 'id: 4|data: x||', 4",
        "'id:4|data: x||id:5|data: y||', 'id:4|data: x||id:5|data: y||', 5",
        "'id: 4|data: x|', '', none",
        "'data: id: 7||', 'data: id: 7||', none",
        "'id: 4^data: x^^id: 5^', 'id: 4^data: x^^', 4",
        "'id: 4^|data: x^|^|id: 5', 'id: 4^|data: x^|^|', 4",
        "': comment|id: 4', '', none",
        "'id: 4|data: x||: c|retry: 9||', 'id: 4|data: x||', 4",
        "': c||id: 4|data: x||', ': c||id: 4|data: x||', 4",
    })
    void returnsCompleteEventsOnly(String text, String returned, String lastId) {
        EventSplitter splitter = new EventSplitter(ANY_EVENT, Optional.empty());
        assertThat(add(splitter, lines(text))).isEqualTo(lines(returned));
        assertThat(splitter.lastId().orElse("none")).isEqualTo(lastId);
    }

    @Property(seed = "20261204")
    void splitOfInputDoesNotChangeEvents(
            @ForAll @Size(max = 12) java.util.List<@IntRange(min = 1, max = 9) Integer> cuts) {
        String text = "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid: 3\ndata: c\n\nid: 4";
        EventSplitter splitter = new EventSplitter(ANY_EVENT, Optional.empty());
        StringBuilder returned = new StringBuilder();
        int from = 0;
        for (int cut : cuts) {
            int to = Math.min(text.length(), from + cut);
            returned.append(add(splitter, text.substring(from, to)));
            from = to;
        }
        returned.append(add(splitter, text.substring(from)));
        assertThat(returned.toString()).isEqualTo(text.substring(0, text.length() - "id: 4".length()));
        assertThat(splitter.lastId()).isEqualTo(Optional.of("3"));
        assertThat(splitter.bufferedBytes()).isEqualTo("id: 4".length());
    }

    /** An id that went back, or came again, was passed on and left no trace. */
    @ParameterizedTest
    @CsvSource({
        "'id: 1||id: 3||', 'id: 1||id: 3||', none",
        "'id: 3||id: 1||id: 1||id: 4||', 'id: 3||', 1 after 3",
        "'id: 3||data: x||id: 3||', 'id: 3||data: x||', 3 after 3",
        "': c|id: 3^|^|: c|id: 2^|^|', ': c|id: 3^|^|', 2 after 3",
        "'id: ||id: ||', 'id: ||id: ||', none",
        "'id: 3||id: ||id: 2||', 'id: 3||id: ||', 2 after 3",
    })
    void splitterStopsAtTheFirstIdThatIsNotAfterTheOneBefore(String text, String returned, String expected) {
        EventSplitter splitter = new EventSplitter(ANY_EVENT, Optional.empty());
        assertThat(add(splitter, lines(text))).isEqualTo(lines(returned));
        assertThat(splitter.disorder()
                        .map(found -> found.received().text() + " after "
                                + found.last().text())
                        .orElse("none"))
                .isEqualTo(expected);
        if (splitter.disorder().isPresent()) {
            assertThat(add(splitter, "id: 9\n\n")).isEmpty();
            assertThat(splitter.lastId()).isEqualTo(Optional.of("3"));
            assertThat(splitter.bufferedBytes()).isEqualTo(0);
        }
    }

    /** Events that no run wrote were passed on because nothing forbade them (issue 48). */
    @ParameterizedTest
    @CsvSource({
        "'id: 3|data: x||data: y||id: 4|data: z||', 'id: 3|data: x||', NO_ID after 3",
        "'data: y||', '', NO_ID after none",
        "'id: 3|data: x||: c|id:|data: y||', 'id: 3|data: x||', EMPTY_ID after 3",
        "'id: 3|data: x||HTTP/1.1 200 OK^|A: b^|^|', 'id: 3|data: x||', STATUS_LINE after 3",
        "'id: 3|data: x||y^^id: 4|data: z||', 'id: 3|data: x||', UNKNOWN_FIELD after 3",
        "'id: 3|data: x||retry: 5||: c|id: 4|data: z||', 'id: 3|data: x||retry: 5||: c|id: 4|data: z||', none",
    })
    void splitterStopsAtTheFirstEventThatIsNoPartOfTheStream(String text, String returned, String expected) {
        EventSplitter splitter = new EventSplitter(new NumberedEventRule(Set.of()), Optional.empty());
        assertThat(add(splitter, lines(text))).isEqualTo(lines(returned));
        assertThat(splitter.invalid()
                        .map(found -> found.defect() + " after "
                                + found.last().map(EventId::text).orElse("none"))
                        .orElse("none"))
                .isEqualTo(expected);
        if (splitter.invalid().isPresent()) {
            assertThat(add(splitter, "id: 9\ndata: x\n\n")).isEmpty();
            assertThat(splitter.bufferedBytes()).isEqualTo(0);
        }
    }

    /** What stands after the last event is returned at the end of a stream, but not the part of an event. */
    @ParameterizedTest
    @CsvSource({
        "'id: 4|data: x||: c|', ': c|'",
        "'id: 4|data: x||retry: 9||||', 'retry: 9||||'",
        "'id: 4|data: x^^', 'id: 4|data: x^^'",
        "'id: 4|data: x||id: 5', ''",
        "'id: 4|data: x||: c', ''",
        "'id: 4|data: x||: c||id: 5|data: y|', ''",
    })
    void restIsReturnedAtTheEndOfTheStream(String text, String rest) {
        EventSplitter splitter = new EventSplitter(ANY_EVENT, Optional.empty());
        add(splitter, lines(text));
        assertThat(splitter.end().toString(StandardCharsets.UTF_8)).isEqualTo(lines(rest));
    }
}
