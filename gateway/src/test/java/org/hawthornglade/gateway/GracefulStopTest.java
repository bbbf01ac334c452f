package org.hawthornglade.gateway;

import static com.google.common.truth.Truth.assertThat;

import io.netty.channel.embedded.EmbeddedChannel;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.hawthornglade.core.stop.OpenWork;
import org.hawthornglade.core.stop.StopStep;
import org.hawthornglade.core.time.ManualClock;
import org.hawthornglade.gateway.log.EventLog;
import org.hawthornglade.gateway.loop.Timers;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

class GracefulStopTest {
    private static final int TICK_MS = 10;

    private final ManualClock clock = new ManualClock(0);
    private final EmbeddedChannel loop = new EmbeddedChannel();
    private final EventLog log =
            new EventLog(clock, new PrintStream(new ByteArrayOutputStream(), true, StandardCharsets.UTF_8));
    private final Timers timers = new Timers(loop.eventLoop(), log);
    private final List<StopStep> steps = new ArrayList<>();

    /** An entry in which a step may fail. */
    private final class Entry implements GracefulStop.Entry {
        private final StopStep failing;

        Entry(StopStep failing) {
            this.failing = failing;
        }

        @Override
        public OpenWork openWork() {
            return OpenWork.NONE;
        }

        @Override
        public void perform(StopStep step, OpenWork open) {
            steps.add(step);
            if (step == failing) {
                throw new IllegalStateException("a step fails");
            }
        }
    }

    private void advance(long ms) {
        for (long passedMs = 0; passedMs < ms; passedMs += TICK_MS) {
            clock.advance(TICK_MS);
            loop.advanceTimeBy(TICK_MS, TimeUnit.MILLISECONDS);
            loop.runPendingTasks();
        }
    }

    /** Guards against a step whose failure leaves out the ones after it. */
    @ParameterizedTest
    @EnumSource(mode = EnumSource.Mode.EXCLUDE, names = "FAIL")
    void stepThatFailsIsLoggedAndTheOthersFollow(StopStep failing) {
        loop.freezeTime();
        GracefulStop stop = new GracefulStop(timers, clock, clock.nowMs(), 8_000, new Entry(failing));
        stop.start();
        advance(4_000);
        assertThat(steps)
                .containsExactly(StopStep.LEAVE_ROTATION, StopStep.REFUSE, StopStep.CLOSE, StopStep.END)
                .inOrder();
        assertThat(stop.awaitEnd()).isTrue();
    }

    /**
     * Guards against a process that ends on what it saw before its event loop was held up: the loop then read a
     * request, passed it on, and the process ended with it.
     */
    @ParameterizedTest
    @ValueSource(longs = {300, 700, 3_000, 9_000})
    void processEndsOnlyAfterTheEventLoopHasCarriedOutTheSteps(long heldUpMs) {
        loop.freezeTime();
        GracefulStop stop = new GracefulStop(timers, clock, clock.nowMs(), 8_000, new Entry(null));
        stop.start();
        advance(2_400);
        clock.advance(heldUpMs);
        assertThat(steps).containsExactly(StopStep.LEAVE_ROTATION);
        advance(1_000);
        assertThat(steps)
                .containsAtLeast(StopStep.REFUSE, StopStep.CLOSE, StopStep.END)
                .inOrder();
        assertThat(stop.awaitEnd()).isTrue();
    }
}
