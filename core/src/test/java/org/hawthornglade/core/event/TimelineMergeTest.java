package org.hawthornglade.core.event;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.hawthornglade.core.time.ManualClock;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

final class TimelineMergeTest {
    private final ManualClock clock = new ManualClock(1_000);
    private final Timeline entry = new Timeline("entry-1", 10, clock, event -> {});
    private final Timeline agent = new Timeline("agent-1", 10, clock, event -> {});

    private List<TimelineEvent> all() {
        entry.record(EventDraft.of(EventKind.REQUEST_RECEIVED).request("r1").model("quote"));
        entry.record(EventDraft.of(EventKind.REQUEST_QUEUED).request("r1").model("quote"));
        clock.advance(10);
        agent.record(EventDraft.of(EventKind.LOAD_DECIDED).model("quote").instance("e1"));
        clock.advance(10);
        entry.record(EventDraft.of(EventKind.REQUEST_ANSWERED).request("r1"));
        List<TimelineEvent> events = new ArrayList<>(agent.after(0, 10));
        events.addAll(entry.after(0, 10));
        events.addAll(entry.after(0, 10));
        return events;
    }

    private static List<EventKind> kinds(List<TimelineEvent> events) {
        return events.stream().map(TimelineEvent::kind).toList();
    }

    @Test
    void ordersByTimeAndKeepsEachEventOnce() {
        assertThat(kinds(TimelineMerge.merge(all(), TimelineFilter.all(), 100)))
                .containsExactly(
                        EventKind.REQUEST_RECEIVED,
                        EventKind.REQUEST_QUEUED,
                        EventKind.LOAD_DECIDED,
                        EventKind.REQUEST_ANSWERED)
                .inOrder();
    }

    @Test
    void keepsTheLatest() {
        assertThat(kinds(TimelineMerge.merge(all(), TimelineFilter.all(), 1)))
                .containsExactly(EventKind.REQUEST_ANSWERED);
    }

    @ParameterizedTest
    @CsvSource(
            nullValues = "-",
            value = {
                "r1,-,-,0,9999,3",
                "-,quote,-,0,9999,3",
                "-,-,e1,0,9999,1",
                "r1,quote,-,0,9999,2",
                "-,-,-,1010,1020,1"
            })
    void filters(String request, String model, String instance, long fromMs, long toMs, int expected) {
        TimelineFilter filter = new TimelineFilter(request, model, instance, fromMs, toMs);
        assertThat(TimelineMerge.merge(all(), filter, 100)).hasSize(expected);
    }
}
