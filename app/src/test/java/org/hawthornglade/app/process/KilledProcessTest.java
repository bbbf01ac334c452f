package org.hawthornglade.app.process;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.List;
import java.util.stream.IntStream;
import org.hawthornglade.core.engine.LoadState;
import org.hawthornglade.standin.service.ExecutedCall;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;

/** Tests processes that are killed while they stream responses, load a model or run a call. */
@Tag("process")
final class KilledProcessTest extends ProcessTestBase {
    private static final String SLOW_TOKENS = "\"remoteMbPerSecond\": 10000, \"betweenTokenMs\": 50";

    @Test
    void callersGetConclusiveResultsWhenTheirAgentIsKilled() throws Exception {
        deploy(SLOW_TOKENS, 0);
        awaitServed(0, "quick");
        List<TestCaller.Call> calls = IntStream.range(0, 6)
                .mapToObj(i -> chat(i % 2, "quick", "prompt " + i))
                .toList();
        for (TestCaller.Call call : calls) {
            awaitReceived(call, ONE_KB);
        }

        deployment().agent(Deployment.ENGINE_1).process().kill();

        for (int i = 0; i < calls.size(); i++) {
            assertConclusiveAndInTime(calls.get(i).join(), "prompt " + i);
        }
        deployment().agent(Deployment.ENGINE_1).process().start();
        awaitServed(0, "quick");
        awaitServed(1, "quick");
        assertInvariants();
    }

    @Test
    void restartedAgentCleansUpAnInterruptedLoad() throws Exception {
        deploy("\"remoteMbPerSecond\": 250, \"betweenTokenMs\": 5", 0);
        TestCaller.Call call = chat(0, "quick", "early");
        Polling.until(
                "the load starts",
                WAIT_TIMEOUT_MS,
                () -> deployment().standins().engine("engine-1").state().models().stream()
                        .anyMatch(held -> held.state() == LoadState.LOADING));

        deployment().agent(Deployment.ENGINE_1).process().kill();
        deployment().standins().engine("engine-1").restart();
        deployment().agent(Deployment.ENGINE_1).process().start();

        assertConclusiveAndInTime(call.join(), "early");
        awaitServed(1, "quick");
        assertInvariants();
    }

    @Test
    void callIsNotRunTwiceWhenItsEntryIsKilled() throws Exception {
        deploy(SLOW_TOKENS, 2_000);
        TestCaller.Call first = order(0, "key-1");
        Polling.until(
                "the call runs",
                WAIT_TIMEOUT_MS,
                () -> !deployment().standins().service("orders-1").calls().isEmpty());

        deployment().entry(0).kill();

        assertThat(first.join().status()).isNotEqualTo(200);
        CallResult retry = order(1, "key-1").join();
        assertWithMessage("%s", retry).that(retry.isConclusive()).isTrue();
        assertWithMessage("%s", retry).that(retry.reportedNotRun()).isFalse();
        deployment().entry(0).start();
        CallResult other = order(1, "key-2").join();
        assertWithMessage("%s", other).that(other.status()).isEqualTo(200);
        assertThat(deployment().standins().service("orders-1").calls().stream().map(ExecutedCall::idempotencyKey))
                .containsExactly("key-1", "key-2");
    }

    @Test
    void killedEntryBreaksOnlyItsOwnCalls() throws Exception {
        deploy(SLOW_TOKENS, 0);
        awaitServed(0, "quick");
        awaitServed(1, "quick");
        TestCaller.Call killed = chat(0, "quick", "killed");
        TestCaller.Call other = chat(1, "quick", "other");
        awaitReceived(killed, ONE_KB);
        awaitReceived(other, ONE_KB);

        deployment().entry(0).kill();

        assertThat(killed.join().broken()).isTrue();
        assertThat(other.join().isCompleteStream("other", TOKENS)).isTrue();
        deployment().entry(0).start();
        awaitServed(1, "quick");
        assertInvariants();
    }
}
