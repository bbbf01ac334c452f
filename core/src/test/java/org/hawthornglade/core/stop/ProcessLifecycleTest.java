package org.hawthornglade.core.stop;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class ProcessLifecycleTest {
    private final ProcessLifecycle lifecycle = new ProcessLifecycle();
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
        public void stop() {
            done.add("stop");
        }
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
