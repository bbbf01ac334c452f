package org.hawthornglade.core.dispatch;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import org.hawthornglade.core.fleet.Endpoint;
import org.hawthornglade.core.fleet.Fleet;
import org.hawthornglade.core.fleet.Records;
import org.hawthornglade.core.id.InstanceId;
import org.hawthornglade.core.id.ModelName;
import org.hawthornglade.core.pace.Pacing;
import org.hawthornglade.core.pace.PacingRules;
import org.hawthornglade.core.serving.CallKind;
import org.hawthornglade.core.serving.EngineDefinition;
import org.hawthornglade.core.serving.Route;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** An engine that crashes when its KV cache is full, filled by several entries. */
class EngineMemoryTest {
    private static final int SEEDS = 20;
    private static final int CALL_TOKENS = 9_250;
    private static final EngineDefinition ENGINE = ReplicaWaitTest.engine();

    private static final class Entry {
        private final Fleet fleet = new Fleet();
        private final FirstTokenSelector selector;

        Entry(boolean crashWhenFull, int entries, long seed) {
            Pacing pacing = new Pacing(new PacingRules(false, false, crashWhenFull), () -> entries, new Random(seed));
            fleet.onSnapshot(List.of(Records.ready("a", List.of("m0"), List.of())), 0);
            pacing.onCall(Records.SERVICE, CALL_TOKENS);
            selector = new FirstTokenSelector(Records.DOMAIN, service -> ENGINE, pacing);
        }

        Endpoint endpoint() {
            return fleet.endpoint(InstanceId.of("a")).orElseThrow();
        }

        boolean trySend(CallView call, int tokens, long nowMs) {
            if (!(selector.select(call, fleet.usable(Records.SERVICE), nowMs) instanceof Decision.Send)) {
                return false;
            }
            endpoint().load().begin(Optional.empty(), tokens, 0);
            endpoint().pace().onStarted();
            return true;
        }
    }

    private static CallView call(int tokens, long arrivedAtMs) {
        Route route =
                new Route("r", "h.example", "/r/", CallKind.STREAM, 60_000, 800, 500, 60_000, 1, 0, true, List.of());
        ModelDemand demand = new ModelDemand(ModelName.of("m0"), Optional.empty(), tokens, 0, List.of());
        return new CallView(Records.SERVICE, route, Optional.of(demand), arrivedAtMs, arrivedAtMs + 60_000);
    }

    /** Plays entries with calls that all wait; returns the most tokens that the engine holds. */
    private static long mostTokens(boolean crashWhenFull, int entryCount, long seed) {
        List<Entry> entries = new ArrayList<>();
        // The first numbers of generators with consecutive seeds are alike.
        Random seeds = new Random(seed);
        for (int i = 0; i < entryCount; i++) {
            entries.add(new Entry(crashWhenFull, entryCount, seeds.nextLong()));
        }
        int sent = 0;
        for (long nowMs = 100; nowMs < 6_000; nowMs += 50) {
            if (nowMs % 300 == 100) {
                for (Entry entry : entries) {
                    entry.endpoint()
                            .load()
                            .updateOthers(sent - entry.endpoint().load().ownRequests(), nowMs);
                }
            }
            for (Entry entry : entries) {
                sent += entry.trySend(call(CALL_TOKENS, 0), CALL_TOKENS, nowMs) ? 1 : 0;
            }
        }
        return (long) sent * CALL_TOKENS;
    }

    /** Each of 27 entries filled 0.85 of the same cache by itself, and the engine crashed with the calls of all. */
    @ParameterizedTest
    @ValueSource(ints = {1, 4, 27, 300})
    void entriesTogetherStayWithinTheMemoryAndUseIt(int entries) {
        for (int seed = 0; seed < SEEDS; seed++) {
            long most = mostTokens(true, entries, seed);
            assertWithMessage("tokens, seed %s", seed).that(most).isAtMost(ENGINE.kvCapacityTokens());
            assertWithMessage("tokens, seed %s", seed).that(most).isAtLeast(ENGINE.kvCapacityTokens() / 2);
            if (entries > 1) {
                assertThat(mostTokens(false, entries, seed)).isGreaterThan(ENGINE.kvCapacityTokens());
            }
        }
    }

    /** A call that is larger than the whole cache crashes an engine also when it is alone there. */
    @ParameterizedTest
    @CsvSource({"true, 190000, true", "true, 200001, false", "false, 200001, true"})
    void callThatCannotFitIsNotSentToAnEmptyEngineThatWouldCrash(boolean crashes, int tokens, boolean sent) {
        Entry entry = new Entry(crashes, 1, 1);
        assertThat(entry.trySend(call(tokens, 100), tokens, 100)).isEqualTo(sent);
    }

    /** Without a leader the calls of other entries were forgotten after 1.5 s, while they still ran. */
    @ParameterizedTest
    @CsvSource({"true, 500, false", "true, 60000, false", "false, 60000, true"})
    void lastKnownCallsOfOthersCountWithoutALeader(boolean crashes, long laterMs, boolean sent) {
        Entry entry = new Entry(crashes, 31, 1);
        entry.endpoint().load().updateOthers(18, 100);
        long nowMs = 100 + laterMs;
        assertThat(entry.trySend(call(CALL_TOKENS, nowMs), CALL_TOKENS, nowMs)).isEqualTo(sent);
    }
}
