package org.hawthornglade.app.process;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import org.hawthornglade.core.result.ResultCode;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;

/** Processes that are frozen and wake later. */
@Tag("process")
final class FrozenProcessTest extends ProcessTestBase {
    private static final String SETTINGS = "\"remoteMbPerSecond\": 10000, \"betweenTokenMs\": 20";
    private static final long SHORT_DEADLINE_MS = 5_000;

    @Test
    void callersOfAFrozenAgentAreAnsweredInTimeAndItMayWakeAgain() throws Exception {
        deploy(SETTINGS, 0);
        awaitAnswering(0, "quick");

        deployment().agent(Deployment.ENGINE_1).process().freeze();
        Answer answer = caller().chat(entryUri(0), "quick", "frozen", TOKENS, SHORT_DEADLINE_MS)
                .join();

        assertWithMessage("%s", answer).that(answer.definite()).isTrue();
        assertWithMessage("%s", answer).that(answer.code()).isNotEqualTo(ResultCode.OK);
        assertWithMessage("%s", answer).that(answer.tookMs()).isLessThan(SHORT_DEADLINE_MS + MARGIN_MS);
        deployment().agent(Deployment.ENGINE_1).process().resume();
        awaitAnswering(0, "quick");
        assertInvariants();
    }

    @Test
    void aCallWhoseAgentFreezesIsNeverRunTwice() throws Exception {
        deploy(SETTINGS, 0);
        assertThat(order(0, "before").join().status()).isEqualTo(200);

        deployment().agent(Deployment.ORDERS_1).process().freeze();
        Answer answer = caller().order(entryUri(0), "key-1", "{\"key\":\"key-1\"}", SHORT_DEADLINE_MS)
                .join();
        deployment().agent(Deployment.ORDERS_1).process().resume();

        assertWithMessage("%s", answer).that(answer.definite()).isTrue();
        Waiting.until(
                "calls run again",
                LIMIT_MS,
                () -> order(1, "after-" + System.nanoTime()).join().status() == 200);
        long runs = deployment().standins().service("orders-1").calls().stream()
                .filter(call -> "key-1".equals(call.idempotencyKey()))
                .count();
        assertThat(runs).isAtMost(1);
        if (answer.saidNotRun()) {
            assertWithMessage("%s", answer).that(runs).isEqualTo(0);
        }
    }

    @Test
    void anEntryThatWakesPastADeadlineRunsNothingTwice() throws Exception {
        deploy(SETTINGS, 500);
        assertThat(order(0, "before").join().status()).isEqualTo(200);
        TestCaller.Call call = caller().order(entryUri(0), "key-1", "{\"key\":\"key-1\"}", SHORT_DEADLINE_MS);
        deployment().entry(0).freeze();

        Answer other = caller().order(entryUri(1), "key-1", "{\"key\":\"key-1\"}", SHORT_DEADLINE_MS)
                .join();
        deployment().entry(0).resume();

        assertWithMessage("%s", other).that(other.definite()).isTrue();
        assertWithMessage("%s", call.join()).that(call.join().definite()).isTrue();
        long runs = deployment().standins().service("orders-1").calls().stream()
                .filter(ran -> "key-1".equals(ran.idempotencyKey()))
                .count();
        assertThat(runs).isAtMost(1);
        if (other.status() == 200 || call.join().status() == 200) {
            assertThat(runs).isEqualTo(1);
        }
    }
}
