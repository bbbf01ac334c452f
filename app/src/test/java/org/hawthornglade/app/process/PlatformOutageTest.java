package org.hawthornglade.app.process;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.stream.Stream;
import org.hawthornglade.standin.fault.FaultScript;
import org.hawthornglade.standin.fault.FaultScriptBuilder;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/** Tests a table service that is down, frozen, slow, rate limited or loses replies. */
@Tag("process")
final class PlatformOutageTest extends ProcessTestBase {
    private static final String SETTINGS = "\"remoteMbPerSecond\": 10000, \"betweenTokenMs\": 5";
    private static final long SHORT_DEADLINE_MS = 6_000;

    static Stream<Arguments> outages() {
        return Stream.of(
                Arguments.of("down", new FaultScriptBuilder().down().build()),
                Arguments.of("frozen", new FaultScriptBuilder().freeze().build()),
                Arguments.of("slow", new FaultScriptBuilder().slowMs(3_000).build()),
                Arguments.of(
                        "rate limited",
                        new FaultScriptBuilder().rateLimitMs(1_000).build()));
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("outages")
    void modelsStillLoadAndServiceCallsAreRejected(String name, FaultScript script) throws Exception {
        deploy(SETTINGS, 0);
        awaitServed(0, "guide");
        awaitServed(1, "guide");
        deployment().standins().faults("table").set(script);

        awaitServed(0, "quick");
        CallResult rejected =
                caller().order(entryUri(0), "key-1", "{}", SHORT_DEADLINE_MS).join();
        assertWithMessage("%s", rejected).that(rejected.isConclusive()).isTrue();
        assertWithMessage("%s", rejected).that(rejected.status()).isNotEqualTo(200);
        assertThat(deployment().standins().service("orders-1").calls()).isEmpty();

        deployment().standins().faults("table").set(FaultScript.NONE);
        Polling.until(
                "calls are served again",
                WAIT_TIMEOUT_MS,
                () -> order(0, "after-" + System.nanoTime()).join().status() == 200);
        assertInvariants();
    }

    @ParameterizedTest
    @org.junit.jupiter.params.provider.ValueSource(ints = {1, 2, 3})
    void callIsNotRunTwiceWhenTheReplyToItsClaimIsLost(int loseReplyEvery) throws Exception {
        deploy(SETTINGS, 0);
        deployment()
                .standins()
                .faults("table")
                .set(new FaultScriptBuilder().loseReplyEvery(loseReplyEvery).build());

        for (int i = 0; i < 6; i++) {
            CallResult first = order(0, "key-" + i).join();
            CallResult second = order(1, "key-" + i).join();
            String key = "key-" + i;
            long runs = deployment().standins().service("orders-1").calls().stream()
                    .filter(ran -> key.equals(ran.idempotencyKey()))
                    .count();
            assertWithMessage("%s then %s", first, second).that(runs).isAtMost(1);
            assertWithMessage("%s", first).that(first.isConclusive()).isTrue();
            if (second.reportedNotRun()) {
                assertWithMessage("%s then %s", first, second).that(runs).isEqualTo(0);
            }
            if (first.status() == 200) {
                assertThat(runs).isEqualTo(1);
            }
        }
    }
}
