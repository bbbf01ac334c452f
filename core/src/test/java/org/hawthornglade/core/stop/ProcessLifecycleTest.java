package org.hawthornglade.core.stop;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.hawthornglade.core.time.ManualClock;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

class ProcessLifecycleTest {
    private static final long SIGNAL_AT_MS = 100;

    private final ManualClock clock = new ManualClock(SIGNAL_AT_MS);
    private final ProcessLifecycle lifecycle = new ProcessLifecycle(clock);
    private final List<String> done = new ArrayList<>();

    /** Does what comes while it starts, too. */
    private final class Recorder implements ProcessLifecycle.Service {
        private final String whileStarting;

        Recorder(String whileStarting) {
            this.whileStarting = whileStarting;
        }

        @Override
        public void start() {
            done.add("start");
            perform(whileStarting);
        }

        @Override
        public void reload() {
            done.add("reload");
        }

        @Override
        public void stop(long requestedAtMs) {
            done.add("stop");
        }
    }

    /** Takes some time to start, in which the process gets a signal. */
    private final class SlowService implements ProcessLifecycle.Service {
        private final long startMs;
        private final Thread signal;
        private long stopRequestedAtMs;

        SlowService(long startMs, Thread signal) {
            this.startMs = startMs;
            this.signal = signal;
        }

        @Override
        public void start() {
            signal.start();
            while (signal.getState() != Thread.State.BLOCKED) {
                Thread.onSpinWait();
            }
            clock.advance(startMs);
        }

        @Override
        public void reload() {}

        @Override
        public void stop(long requestedAtMs) {
            stopRequestedAtMs = requestedAtMs;
        }
    }

    /** LOST: a stop that was requested during a start counted its grace from the end of the start, and was killed. */
    @ParameterizedTest
    @ValueSource(longs = {0, 700, 9_000})
    void timeOfAStopCountsFromItsSignal(long startMs) throws Exception {
        Thread signal = new Thread(lifecycle::stop, "signal");
        SlowService service = new SlowService(startMs, signal);
        lifecycle.start(service);
        signal.join();
        assertThat(service.stopRequestedAtMs).isEqualTo(SIGNAL_AT_MS);
    }

    private void perform(String signal) {
        if (signal.equals("TERM")) {
            lifecycle.stop();
        } else if (signal.equals("HUP")) {
            lifecycle.requestReload();
        }
    }

    /** Guards against signals that end a process at once because they arrive before or while it starts. */
    @ParameterizedTest
    @CsvSource({
        "none, none, none, start",
        "none, none, TERM, start stop",
        "none, none, HUP, start reload",
        "TERM, none, none, ''",
        "TERM, none, HUP, ''",
        "HUP, none, none, start reload",
        "HUP, none, TERM, start reload stop",
        "none, HUP, none, start reload",
        "HUP, HUP, HUP, start reload reload",
    })
    void signalsActInTheirOrderOnceTheProcessHasStarted(
            String before, String whileStarting, String after, String expected) {
        perform(before);
        lifecycle.start(new Recorder(whileStarting));
        perform(after);
        assertThat(String.join(" ", done)).isEqualTo(expected);
    }
}
