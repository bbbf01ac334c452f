package org.hawthornglade.app.process;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.stream.IntStream;
import org.hawthornglade.app.process.Relay.Direction;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Tests open connections between entries and agents that go silent or are cut, while new ones work. */
@Tag("process")
final class SilentConnectionTest extends ProcessTestBase {
    private static final String SETTINGS = "\"remoteMbPerSecond\": 10000, \"betweenTokenMs\": 50";

    private void silenceAll(Direction direction) {
        for (var engine : List.of(Deployment.ENGINE_1, Deployment.ENGINE_2)) {
            deployment().agent(engine).dataRelay().silenceOpenConnections(direction);
            deployment().agent(engine).controlRelay().silenceOpenConnections(direction);
        }
    }

    @ParameterizedTest
    @EnumSource
    void openCallsEndConclusivelyAndNewCallsSucceed(Direction direction) throws Exception {
        deploy(SETTINGS, 0);
        awaitServed(0, "guide");
        awaitServed(1, "guide");
        List<TestCaller.Call> calls = IntStream.range(0, 6)
                .mapToObj(i -> chat(i % 2, "guide", "prompt " + i))
                .toList();
        for (TestCaller.Call call : calls) {
            awaitReceived(call, ONE_KB);
        }

        silenceAll(direction);

        for (int i = 0; i < calls.size(); i++) {
            assertConclusiveAndInTime(calls.get(i).join(), "prompt " + i);
        }
        awaitServed(0, "guide");
        awaitServed(1, "guide");
        assertInvariants();
    }

    @ParameterizedTest
    @EnumSource
    void callOverASilentConnectionIsNotRunTwice(Direction direction) throws Exception {
        deploy(SETTINGS, 1_000);
        assertThat(order(0, "before").join().status()).isEqualTo(200);
        TestCaller.Call call = caller().order(entryUri(0), "key-1", "{\"key\":\"key-1\"}", 8_000);
        Polling.until(
                "the call is running",
                WAIT_TIMEOUT_MS,
                () -> deployment().standins().service("orders-1").calls().size() == 2);
        deployment().agent(Deployment.ORDERS_1).dataRelay().silenceOpenConnections(direction);
        deployment().agent(Deployment.ORDERS_1).controlRelay().silenceOpenConnections(direction);

        assertThat(call.join().isConclusive()).isTrue();
        assertThat(call.join().reportedNotRun()).isFalse();
        assertThat(order(1, "key-1").join().reportedNotRun()).isFalse();
        Polling.until(
                "calls are served again",
                WAIT_TIMEOUT_MS,
                () -> order(0, "after-" + System.nanoTime()).join().status() == 200);
        assertThat(deployment().standins().service("orders-1").calls().stream()
                        .filter(ran -> "key-1".equals(ran.idempotencyKey())))
                .hasSize(1);
    }

    @Test
    void callsOverCutConnectionsEndConclusively() throws Exception {
        deploy(SETTINGS, 0);
        awaitServed(0, "guide");
        List<TestCaller.Call> calls = IntStream.range(0, 6)
                .mapToObj(i -> chat(0, "guide", "prompt " + i))
                .toList();
        for (TestCaller.Call call : calls) {
            awaitReceived(call, ONE_KB);
        }

        deployment().agent(Deployment.ENGINE_1).dataRelay().cutOpenConnections();
        deployment().agent(Deployment.ENGINE_1).controlRelay().cutOpenConnections();

        for (int i = 0; i < calls.size(); i++) {
            assertConclusiveAndInTime(calls.get(i).join(), "prompt " + i);
        }
        awaitServed(0, "guide");
        assertInvariants();
    }
}
