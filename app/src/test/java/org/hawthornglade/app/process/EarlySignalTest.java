package org.hawthornglade.app.process;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.nio.file.Path;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Sends signals to an entry as soon as it accepts a connection. */
@Tag("process")
final class EarlySignalTest {
    private static final int STARTS = 4;
    private static final long WAIT_TIMEOUT_MS = 30_000;

    @TempDir
    Path directory;

    /** Guards against a signal just after the start that ends the process at once, with what it has accepted. */
    @ParameterizedTest
    @ValueSource(strings = {"TERM", "HUP"})
    void signalDoesNotEndTheProcessAtOnce(String signal) throws Exception {
        try (GatewayDeployment deployment = new GatewayDeployment(directory, 1, NodeProcess.JVM_FLAGS, "{}")) {
            for (int start = 1; start <= STARTS; start++) {
                NodeProcess process = deployment.entry(0);
                process.kill();
                process.start();
                Polling.until("the port is open", WAIT_TIMEOUT_MS, () -> deployment.accepts(0));
                if (signal.equals("HUP")) {
                    process.hangUp();
                    awaitLines(deployment, "event=reload ", start);
                    assertThat(process.isAlive()).isTrue();
                } else {
                    process.terminate();
                    process.awaitExit();
                    assertThat(lines(deployment, "event=stop ")).isEqualTo(start);
                }
            }
        }
    }

    private static void awaitLines(GatewayDeployment deployment, String text, int count) throws Exception {
        Polling.until(text + count + " times", WAIT_TIMEOUT_MS, () -> lines(deployment, text) == count);
    }

    private static long lines(GatewayDeployment deployment, String text) throws IOException {
        return deployment.log(0).lines().filter(line -> line.contains(text)).count();
    }
}
