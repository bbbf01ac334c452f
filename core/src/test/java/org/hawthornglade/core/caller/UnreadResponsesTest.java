package org.hawthornglade.core.caller;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.stream.Stream;
import org.hawthornglade.core.caller.UnreadResponses.Dropped;
import org.hawthornglade.core.caller.UnreadResponses.Unread;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/** Guards against a caller that reads and loses its response, and against unread responses that fill the memory. */
class UnreadResponsesTest {
    private static final long NOW_MS = 100_000;
    private static final UnreadResponses LIMITS = new UnreadResponses(1_000, 1_000, 15_000);

    static Stream<Arguments> cases() {
        return Stream.of(
                Arguments.of("nothing is unread", List.of(), List.of()),
                Arguments.of("at the limit", List.of(unread("a", 600, 5_000), unread("b", 400, 5_000)), List.of()),
                Arguments.of(
                        "oldest first until the rest is within the limit",
                        List.of(unread("young", 600, 2_000), unread("old", 300, 9_000), unread("middle", 300, 4_000)),
                        List.of(new Dropped<>("old", 1_200L))),
                Arguments.of(
                        "the oldest is dropped, not the largest",
                        List.of(unread("large", 1_000, 2_000), unread("old", 1, 9_000)),
                        List.of(new Dropped<>("old", 1_001L))),
                Arguments.of(
                        "several",
                        List.of(unread("c", 900, 2_000), unread("a", 500, 4_000), unread("b", 500, 3_000)),
                        List.of(new Dropped<>("a", 1_900L), new Dropped<>("b", 1_400L))),
                Arguments.of("who reads is never dropped", List.of(unread("reading", 5_000, 999)), List.of()),
                Arguments.of(
                        "who reads counts towards the total",
                        List.of(unread("reading", 5_000, 999), unread("stalled", 1, 1_000)),
                        List.of(new Dropped<>("stalled", 5_001L))),
                Arguments.of(
                        "overdue below the limit",
                        List.of(unread("overdue", 1, 15_000), unread("in time", 1, 14_999)),
                        List.of(new Dropped<>("overdue", 2L))),
                Arguments.of("nothing due to an idle connection", List.of(unread("idle", 0, 60_000)), List.of()));
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("cases")
    void oldestUnreadIsDroppedFirst(String name, List<Unread<String>> all, List<Dropped<String>> expected) {
        assertThat(LIMITS.choose(all, NOW_MS)).isEqualTo(expected);
    }

    private static Unread<String> unread(String connection, long bytes, long ageMs) {
        return new Unread<>(connection, bytes, NOW_MS - ageMs);
    }
}
