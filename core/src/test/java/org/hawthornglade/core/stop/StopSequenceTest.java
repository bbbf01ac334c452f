package org.hawthornglade.core.stop;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;

/** Plays stops in virtual time. */
class StopSequenceTest {
    private static final long GRACE_MS = 8_000;
    private static final long FAIL_AT_MS = 7_300;
    private static final int CHECK_MS = 20;
    private static final int BEGIN_STEP_MS = 170;
    private static final long FAILED_WORK_ENDS_MS = 30;

    private final List<String> steps = new ArrayList<>();

    /** What is open, as far as it begins and ends without the stop. */
    private static OpenWork open(Kind kind, int count) {
        return switch (kind) {
            case CALL -> new OpenWork(count, 0, 0);
            case PARTIAL_REQUEST -> new OpenWork(0, count, 0);
            case UNDELIVERED_RESPONSE -> new OpenWork(0, 0, count);
        };
    }

    private enum Kind {
        CALL,
        PARTIAL_REQUEST,
        UNDELIVERED_RESPONSE
    }

    /** Work that is open from one time to another; what begins after REFUSE is refused, and ends at once. */
    private record Work(Kind kind, long beginsMs, long endsMs) {}

    /** Plays a stop, and returns when it ended; what is open at FAIL ends soon after it. */
    private long play(long graceMs, List<Work> works, int checkMs) {
        StopSequence sequence = new StopSequence(0, graceMs);
        long failedMs = Long.MAX_VALUE;
        for (long nowMs = 0; nowMs <= graceMs + 1_000; nowMs += checkMs) {
            OpenWork open = OpenWork.NONE;
            for (Work work : works) {
                boolean over = nowMs >= Math.min(work.endsMs(), Math.max(work.beginsMs(), failedMs));
                open = open.plus(open(work.kind(), work.beginsMs() <= nowMs && !over ? 1 : 0));
            }
            for (StopStep step : sequence.next(nowMs, open)) {
                steps.add(step + " at " + nowMs);
                failedMs = step == StopStep.FAIL ? nowMs + FAILED_WORK_ENDS_MS : failedMs;
            }
            if (sequence.ended()) {
                assertWithMessage("open at the end: " + open)
                        .that(open.isEmpty())
                        .isTrue();
                assertThat(sequence.next(nowMs + 1, open)).isEmpty();
                return nowMs;
            }
        }
        throw new AssertionError("the stop does not end: " + steps);
    }

    @ParameterizedTest
    @CsvSource({
        "0, 8000, LEAVE_ROTATION at 0;REFUSE at 2500;CLOSE at 2520;END at 2780",
        "4000, 8000, LEAVE_ROTATION at 0;REFUSE at 2500;CLOSE at 4000;END at 4260",
        "60000, 8000, LEAVE_ROTATION at 0;REFUSE at 2500;FAIL at 7300;CLOSE at 7300;END at 7560",
        "60000, 2000, LEAVE_ROTATION at 0;REFUSE at 1300;FAIL at 1320;CLOSE at 1320;END at 1580",
        "0, 0, LEAVE_ROTATION at 0;REFUSE at 20;CLOSE at 40;END at 300",
    })
    void refusesAfterTheBalancerHasReactedAndEndsWithItsLastCall(long lastCallEndsMs, long graceMs, String expected) {
        play(graceMs, List.of(new Work(Kind.CALL, 0, lastCallEndsMs)), CHECK_MS);
        assertThat(String.join(";", steps)).isEqualTo(expected);
    }

    /** Each kind of work with each other kind, the second one beginning and ending at any time around the first. */
    static Stream<Arguments> pairs() {
        return Stream.of(Kind.values())
                .flatMap(first -> Stream.of(Kind.values())
                        .flatMap(
                                second -> Stream.of(20, 90, 400).map(checkMs -> Arguments.of(first, second, checkMs))));
    }

    /** Guards against a process that ends while it holds something: a call, a part of a request, a response. */
    @ParameterizedTest
    @MethodSource("pairs")
    void processEndsWithNothingOpenWithinItsGrace(Kind first, Kind second, int checkMs) {
        for (long firstEndsMs = 0; firstEndsMs < 2 * GRACE_MS; firstEndsMs += 4 * BEGIN_STEP_MS) {
            for (long beginsMs = 0; beginsMs < FAIL_AT_MS; beginsMs += BEGIN_STEP_MS) {
                for (long lastsMs : List.of(1L, 200L, 900L, 5_000L)) {
                    steps.clear();
                    Work early = new Work(first, 0, firstEndsMs);
                    Work late = new Work(second, beginsMs, beginsMs + lastsMs);
                    long endedMs = play(GRACE_MS, List.of(early, late), checkMs);
                    assertThat(endedMs).isAtMost(GRACE_MS);
                }
            }
        }
    }
}
