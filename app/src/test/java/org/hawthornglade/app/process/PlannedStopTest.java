package org.hawthornglade.app.process;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.List;
import java.util.stream.IntStream;
import org.hawthornglade.standin.engine.Violation;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;

/** Tests that a stop by SIGTERM cuts no request. */
@Tag("process")
final class PlannedStopTest extends ProcessTestBase {
    private static final String SETTINGS = "\"remoteMbPerSecond\": 10000, \"betweenTokenMs\": 50";
    private static final int CALL_COUNT = 8;

    private List<TestCaller.Call> startStreams() throws InterruptedException {
        List<TestCaller.Call> calls = IntStream.range(0, CALL_COUNT)
                .mapToObj(i -> chat(i % 2, "guide", "prompt " + i))
                .toList();
        for (TestCaller.Call call : calls) {
            awaitReceived(call, ONE_KB);
        }
        return calls;
    }

    private static void assertAllComplete(List<TestCaller.Call> calls) {
        for (int i = 0; i < calls.size(); i++) {
            CallResult result = calls.get(i).join();
            assertWithMessage("%s", result)
                    .that(result.isCompleteStream("prompt " + i, TOKENS))
                    .isTrue();
        }
    }

    @Test
    void stoppedAgentCompletesCallsInFlight() throws Exception {
        deploy(SETTINGS, 0);
        awaitServed(0, "guide");
        awaitServed(1, "guide");
        List<TestCaller.Call> calls = startStreams();

        deployment().agent(Deployment.ENGINE_1).process().terminate();

        assertAllComplete(calls);
        deployment().agent(Deployment.ENGINE_1).process().awaitExit();
        assertThat(deployment().standins().engine("engine-1").state().violations().stream()
                        .map(Violation::kind))
                .doesNotContain(Violation.Kind.CUT_REQUESTS);
        awaitServed(0, "guide");
        assertInvariants();
    }

    @Test
    void stoppedEntryCompletesCallsInFlight() throws Exception {
        deploy(SETTINGS, 1_000);
        awaitServed(0, "guide");
        awaitServed(1, "guide");
        List<TestCaller.Call> calls = startStreams();
        TestCaller.Call order = order(0, "key-1");
        Polling.until(
                "the call is running",
                WAIT_TIMEOUT_MS,
                () -> !deployment().standins().service("orders-1").calls().isEmpty());

        deployment().entry(0).terminate();

        assertAllComplete(calls);
        assertWithMessage("%s", order.join()).that(order.join().status()).isEqualTo(200);
        deployment().entry(0).awaitExit();
        awaitServed(1, "guide");
        assertInvariants();
    }

    @Test
    void stoppedServiceAgentCompletesCallsInFlight() throws Exception {
        deploy(SETTINGS, 2_000);
        TestCaller.Call order = order(0, "key-1");
        Polling.until(
                "the call is running",
                WAIT_TIMEOUT_MS,
                () -> !deployment().standins().service("orders-1").calls().isEmpty());

        deployment().agent(Deployment.ORDERS_1).process().terminate();

        assertWithMessage("%s", order.join()).that(order.join().status()).isEqualTo(200);
        deployment().agent(Deployment.ORDERS_1).process().awaitExit();
        CallResult afterStop = caller().order(entryUri(1), "key-2", "{}", 2_000).join();
        assertWithMessage("%s", afterStop).that(afterStop.reportedNotRun()).isTrue();
        assertThat(deployment().standins().service("orders-1").calls()).hasSize(1);
    }
}
