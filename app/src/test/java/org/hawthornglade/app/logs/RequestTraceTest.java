package org.hawthornglade.app.logs;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class RequestTraceTest {
    private static final String CALL_LINE =
            "at=9000 event=call request=r-1 code=0 total_ms=3000 model=m1/a2 instance=i-7";

    private static RequestTrace trace(String... lines) {
        return new RequestTrace(List.of(lines).stream()
                .map(LogEvent::parse)
                .flatMap(Optional::stream)
                .toList());
    }

    @Test
    void parsesQuotedValuesAndALeadingName() {
        LogEvent event =
                LogEvent.parse("  1.5 front-a at=7 event=x why=\"two words\"").orElseThrow();
        assertThat(event.atMs()).isEqualTo(7);
        assertThat(event.get("why")).isEqualTo("two words");
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "event=call", "at=soon event=call", "a stack trace"})
    void ignoresLinesWithoutTimeOrEvent(String line) {
        assertThat(LogEvent.parse(line)).isEqualTo(Optional.empty());
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "at=5000 event=order instance=i-3 model=m1",
                "at=4500 event=report-failed instance=i-7",
                "at=8000 event=instance-removed id=i-7",
                "at=7000 event=leader-lost silent_ms=1200",
            })
    void listsRelatedEventsInOrderOfTime(String line) {
        RequestTrace trace = trace(CALL_LINE, line);
        LogEvent call = trace.callEvent("r-1").orElseThrow();
        assertThat(trace.relatedEvents(call).stream().map(LogEvent::toString).toList())
                .containsExactly(line, CALL_LINE)
                .inOrder();
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "at=5000 event=order instance=i-3 model=m2",
                "at=3000 event=leader-lost silent_ms=1200",
                "at=9500 event=leader-lost silent_ms=1200",
                "at=7000 event=call request=r-2 model=m1",
            })
    void omitsUnrelatedEvents(String line) {
        RequestTrace trace = trace(CALL_LINE, line);
        assertThat(trace.relatedEvents(trace.callEvent("r-1").orElseThrow())).hasSize(1);
    }
}
