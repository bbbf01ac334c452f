package org.hawthornglade.app.process;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestInfo;

/** Tests the path from caller to endpoint without faults. */
@Tag("process")
final class EndToEndTest {
    private static final int TOKENS = 8;
    private static final long DEADLINE_MS = 30_000;

    private Path logs;

    @BeforeEach
    void createLogDirectory(TestInfo info) throws IOException {
        logs = Deployment.createLogDirectory(info);
    }

    @Test
    void loadsAColdModelAndServesItAtBothEntries() throws Exception {
        try (Deployment deployment = new Deployment(logs, "\"remoteMbPerSecond\": 2000, \"betweenTokenMs\": 5", 0, 2);
                TestCaller caller = new TestCaller()) {
            List<TestCaller.Call> calls = IntStream.range(0, 20)
                    .mapToObj(i -> caller.chat(deployment.entryUri(i % 2), "guide", "prompt " + i, TOKENS, DEADLINE_MS))
                    .toList();

            for (int i = 0; i < calls.size(); i++) {
                CallResult result = calls.get(i).join();
                assertThat(result.isCompleteStream("prompt " + i, TOKENS)).isTrue();
            }
            assertThat(deployment.standins().replicaCounter().maxReplicas(Deployment.GUIDE))
                    .isAtMost(2);
            assertThat(caller.chat(deployment.entryUri(0), "nobody", "x", 1, DEADLINE_MS)
                            .join()
                            .status())
                    .isEqualTo(404);
        }
    }

    @Test
    void runsARepeatedOrderConfirmationOnce() throws Exception {
        try (Deployment deployment = new Deployment(logs, "\"betweenTokenMs\": 5", 300, 2);
                TestCaller caller = new TestCaller()) {
            List<TestCaller.Call> calls = IntStream.range(0, 6)
                    .mapToObj(i -> caller.order(deployment.entryUri(i % 2), "key-1", "{\"order\":1}", DEADLINE_MS))
                    .toList();
            calls.forEach(call -> assertWithMessage("%s", call.join())
                    .that(call.join().isConclusive())
                    .isTrue());
            assertThat(deployment.standins().service("orders-1").calls()).hasSize(1);
            assertThat(calls.stream()
                            .filter(call -> call.join().status() == 200)
                            .count())
                    .isAtLeast(1);
            calls.forEach(call -> assertThat(call.join().reportedNotRun()).isFalse());
        }
    }
}
