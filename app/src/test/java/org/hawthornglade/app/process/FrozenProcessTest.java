package org.hawthornglade.app.process;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import org.hawthornglade.core.result.ResultCode;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;

/** Tests processes that are frozen by SIGSTOP and resumed later: calls end in time and none runs twice. */
@Tag("process")
final class FrozenProcessTest extends ProcessTestBase {
    private static final String SETTINGS = "\"remoteMbPerSecond\": 10000, \"betweenTokenMs\": 20";
    private static final long SHORT_DEADLINE_MS = 5_000;

    @Test
    void callsToAFrozenAgentEndInTimeAndTheAgentServesAfterResume() throws Exception {
        deploy(SETTINGS, 0);
        awaitServed(0, "quick");

        deployment().agent(Deployment.ENGINE_1).process().freeze();
        CallResult result = caller().chat(entryUri(0), "quick", "frozen", TOKENS, SHORT_DEADLINE_MS)
                .join();

        assertWithMessage("%s", result).that(result.isConclusive()).isTrue();
        assertWithMessage("%s", result).that(result.resultCode()).isNotEqualTo(ResultCode.OK);
        assertWithMessage("%s", result).that(result.durationMs()).isLessThan(SHORT_DEADLINE_MS + MARGIN_MS);
        deployment().agent(Deployment.ENGINE_1).process().resume();
        awaitServed(0, "quick");
        assertInvariants();
    }

    @Test
    void callIsNotRunTwiceWhenItsAgentFreezes() throws Exception {
        deploy(SETTINGS, 0);
        assertThat(order(0, "before").join().status()).isEqualTo(200);

        deployment().agent(Deployment.ORDERS_1).process().freeze();
        CallResult result = caller().order(entryUri(0), "key-1", "{\"key\":\"key-1\"}", SHORT_DEADLINE_MS)
                .join();
        deployment().agent(Deployment.ORDERS_1).process().resume();

        assertWithMessage("%s", result).that(result.isConclusive()).isTrue();
        Polling.until(
                "calls are served again",
                WAIT_TIMEOUT_MS,
                () -> order(1, "after-" + System.nanoTime()).join().status() == 200);
        long runs = deployment().standins().service("orders-1").calls().stream()
                .filter(call -> "key-1".equals(call.idempotencyKey()))
                .count();
        assertThat(runs).isAtMost(1);
        if (result.reportedNotRun()) {
            assertWithMessage("%s", result).that(runs).isEqualTo(0);
        }
    }

    @Test
    void callIsNotRunTwiceWhenItsEntryFreezesPastTheDeadline() throws Exception {
        deploy(SETTINGS, 500);
        assertThat(order(0, "before").join().status()).isEqualTo(200);
        TestCaller.Call call = caller().order(entryUri(0), "key-1", "{\"key\":\"key-1\"}", SHORT_DEADLINE_MS);
        deployment().entry(0).freeze();

        CallResult other = caller().order(entryUri(1), "key-1", "{\"key\":\"key-1\"}", SHORT_DEADLINE_MS)
                .join();
        deployment().entry(0).resume();

        assertWithMessage("%s", other).that(other.isConclusive()).isTrue();
        assertWithMessage("%s", call.join()).that(call.join().isConclusive()).isTrue();
        long runs = deployment().standins().service("orders-1").calls().stream()
                .filter(ran -> "key-1".equals(ran.idempotencyKey()))
                .count();
        assertThat(runs).isAtMost(1);
        if (other.status() == 200 || call.join().status() == 200) {
            assertThat(runs).isEqualTo(1);
        }
    }
}
