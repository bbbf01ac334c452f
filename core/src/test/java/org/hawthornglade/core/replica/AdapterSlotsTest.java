package org.hawthornglade.core.replica;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.List;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Which adapters get the slots of the engines that have their model, while calls ask for more than there are. */
class AdapterSlotsTest {
    private static final int SLOTS = 4;
    private static final long UNUSED_MS = 1_000;

    /** Guards against a slot that goes back and forth between adapters whose calls were refused and are gone. */
    @ParameterizedTest
    @ValueSource(longs = {-9_000, -100, 300})
    void slotThatIsFreedForAWaitingCallIsNotGivenToCallsThatAreGone(long slackOfRefusedMs) {
        ReplicaFixture fixture = fullEngine();
        fixture.expected("refused", slackOfRefusedMs, "m0/x0", "m0/x1", "m0/x2", "m0/x3");
        fixture.waiting("waiting", 200, "m0/x4");
        assertThat(fixture.plan()).containsExactly("a UNLOAD m0/x0");
        fixture.answer(OrderOutcome.ACCEPTED);
        assertThat(fixture.plan()).containsExactly("a LOAD m0/x4");
    }

    /** Guards against loads that only take the place of each other while nobody waits. */
    @Test
    void noAdapterIsUnloadedForCallsThatAreGone() {
        ReplicaFixture fixture = fullEngine();
        fixture.expected("refused", -100, "m0/x4", "m0/x5");
        assertThat(fixture.plan()).isEmpty();
    }

    /** An adapter for which a call is expected to come again may have a slot that nothing else needs. */
    @Test
    void freeSlotIsUsedForACallThatIsExpectedAgain() {
        ReplicaFixture fixture = new ReplicaFixture(1, 0).engine("a", List.of("m0"), List.of("m0"));
        fixture.expected("refused", -100, "m0/x4");
        assertThat(fixture.plan()).containsExactly("a LOAD m0/x4");
    }

    /**
     * Guards against adapters that are never served: more adapters than slots, each asked for four times in eight
     * seconds, by callers that give up after a while and come again.
     */
    @ParameterizedTest
    @CsvSource({
        "1, 7, 50, 1000",
        "1, 14, 50, 1000",
        "1, 14, 50, 13000",
        "1, 14, 500, 1000",
        "1, 14, 500, 13000",
        "2, 14, 50, 1000",
        "2, 28, 50, 1000",
        "2, 28, 50, 13000",
        "2, 28, 500, 1000",
        "2, 28, 500, 13000"
    })
    void eachAdapterIsServedAtLeastOnce(int replicas, int adapters, long callMs, long retryMs) {
        assertEachAdapterIsServed(replicas, adapters, callMs, retryMs);
    }

    /** As above, with calls so long that 14 of them would have to run at once at eight slots. */
    @Tag("known-red")
    @ParameterizedTest
    @CsvSource({"2, 28, 1000, 1000", "2, 28, 1000, 13000"})
    void eachAdapterIsServedAtLeastOnceWhereCallsNeedMoreSlots(int replicas, int adapters, long callMs, long retryMs) {
        assertEachAdapterIsServed(replicas, adapters, callMs, retryMs);
    }

    private static void assertEachAdapterIsServed(int replicas, int adapters, long callMs, long retryMs) {
        AdapterCalls calls = new AdapterCalls(replicas, adapters, callMs, retryMs);
        calls.run();
        assertWithMessage("calls served by adapter: %s", calls.served())
                .that(calls.served().keySet())
                .hasSize(adapters);
    }

    /** Guards against adapters that wait for a slot of the least loaded engine while another engine has one. */
    @ParameterizedTest
    @CsvSource({"true, b LOAD m0/x9", "false, b UNLOAD m0/y0"})
    void adapterIsLoadedWhereASlotIsOrCanBeFreed(boolean slotIsFree, String expected) {
        ReplicaFixture fixture = new ReplicaFixture(1, 0).engine("a", List.of("m0"), List.of("m0"));
        load(fixture, "m0/x", SLOTS);
        fixture.engine("b", List.of("m0"), List.of("m0"));
        fixture.running("a", "m0/x0", "m0/x1", "m0/x2", "m0/x3");
        load(fixture, "m0/y", slotIsFree ? SLOTS - 1 : SLOTS);
        fixture.running("b", "m0", "m0", "m0", "m0", "m0", "m0");
        fixture.nowMs += UNUSED_MS;
        fixture.waiting("waiting", 200, "m0/x9");
        assertThat(fixture.plan()).containsExactly(expected);
    }

    /** Returns an engine whose adapter slots are all taken by adapters that have not been used for some time. */
    private static ReplicaFixture fullEngine() {
        ReplicaFixture fixture = new ReplicaFixture(1, 0).engine("a", List.of("m0"), List.of("m0"));
        load(fixture, "m0/x", SLOTS);
        fixture.nowMs += UNUSED_MS;
        return fixture;
    }

    private static void load(ReplicaFixture fixture, String prefix, int count) {
        for (int i = 0; i < count; i++) {
            fixture.waiting("waiting", 300, prefix + i);
            assertThat(fixture.plan()).hasSize(1);
            fixture.answer(OrderOutcome.ACCEPTED);
            fixture.nowMs += 20;
        }
    }
}
