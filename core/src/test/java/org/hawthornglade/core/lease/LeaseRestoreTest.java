package org.hawthornglade.core.lease;

import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.hawthornglade.core.store.StoreRevision;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Searches short orders of calls to a store that is restored for two leaders with one token, or at one time. */
class LeaseRestoreTest {
    private static final long LEASE_MS = 3_000;
    private static final long WALL_MS = 1_000_000;
    /** Longer than the pause between two reads. */
    private static final long STEP_MS = 350;
    /** Longer than a lease and the margins beside it. */
    private static final long LONG_WAIT_MS = 3_500;

    private static final int SEARCH_DEPTH = 7;

    /** What can happen next. */
    private enum Action {
        FIRST_CALLS,
        SECOND_CALLS,
        FIRST_CALLS_WITHOUT_RESPONSE,
        DELAYED_WRITE_ARRIVES,
        RESTORE_ONE_WRITE,
        RESTORE_TWO_WRITES,
        LONG_WAIT
    }

    /** Two entries and a store, and who ordered with which token. */
    private static final class World {
        private final RestorableLeaseStore store = new RestorableLeaseStore();
        private final Map<FencingToken, String> holders = new HashMap<>();
        private final List<LeaseWrite> delayed = new ArrayList<>();
        private final Leadership first;
        private final Leadership second;
        private final boolean enginesCheckTokens;
        private long nowMs;
        private FencingToken highest = new FencingToken(0);

        World(boolean enginesCheckTokens) {
            this.enginesCheckTokens = enginesCheckTokens;
            first = new Leadership("a", "10.0.0.1:7000", "a-1", LEASE_MS, enginesCheckTokens);
            second = new Leadership("b", "10.0.0.2:7000", "b-1", LEASE_MS, enginesCheckTokens);
        }

        private long wallMs() {
            return WALL_MS + nowMs;
        }

        void pass(long ms) {
            for (long passed = 0; passed < ms; passed += 50) {
                nowMs += 50;
                first.check(nowMs, wallMs());
                second.check(nowMs, wallMs());
            }
        }

        /** Makes the call that an entry wants to make now, if any. */
        void call(Leadership entry) {
            call(entry, write -> respond(entry, write));
        }

        private void call(Leadership entry, Consumer<LeaseWrite> onWrite) {
            if (entry.shouldRead(false, nowMs)) {
                entry.onReadSent(nowMs);
                entry.onRead(store.read(), nowMs).map(LeaseClaim::write).ifPresent(onWrite);
                return;
            }
            entry.renewal(nowMs).ifPresent(onWrite);
        }

        private void respond(Leadership entry, LeaseWrite write) {
            Optional<StoreRevision> written = store.write(write);
            if (written.isPresent()) {
                entry.onWritten(write, written.get(), nowMs, wallMs());
            } else {
                entry.onConflict(store.read(), write, nowMs);
            }
        }

        void apply(Action action) {
            switch (action) {
                case FIRST_CALLS -> call(first);
                case SECOND_CALLS -> call(second);
                case FIRST_CALLS_WITHOUT_RESPONSE ->
                    call(first, write -> {
                        delayed.add(write);
                        first.onWriteOutcomeUnknown(nowMs, nowMs);
                    });
                case DELAYED_WRITE_ARRIVES -> {
                    delayed.forEach(store::write);
                    delayed.clear();
                }
                case RESTORE_ONE_WRITE -> store.restore(1);
                case RESTORE_TWO_WRITES -> store.restore(2);
                case LONG_WAIT -> pass(LONG_WAIT_MS);
            }
            pass(STEP_MS);
        }

        /** Sends an order of each entry that may, and returns what is wrong with it. */
        Optional<String> order() {
            boolean both = first.mayOrder(nowMs, wallMs()) && second.mayOrder(nowMs, wallMs());
            if (both && !enginesCheckTokens) {
                return Optional.of("two leaders");
            }
            return order("a", first).or(() -> order("b", second));
        }

        private Optional<String> order(String name, Leadership entry) {
            if (!entry.mayOrder(nowMs, wallMs())) {
                return Optional.empty();
            }
            FencingToken token = entry.token();
            if (!holders.computeIfAbsent(token, absent -> name).equals(name)) {
                return Optional.of("two holders of token " + token);
            }
            if (enginesCheckTokens && token.value() < highest.value()) {
                entry.stepDown();
                return Optional.empty();
            }
            if (token.value() < highest.value()) {
                return Optional.of("token " + token + " after " + highest);
            }
            highest = token;
            return Optional.empty();
        }
    }

    /** Returns the fault that a sequence of actions leads to, after the first entry has won and renewed its lease. */
    private static Optional<String> fault(boolean enginesCheckTokens, List<Action> actions) {
        World world = leading(enginesCheckTokens);
        world.apply(Action.SECOND_CALLS);
        for (Action action : actions) {
            world.apply(action);
            Optional<String> fault = world.order();
            if (fault.isPresent()) {
                return fault;
            }
        }
        return Optional.empty();
    }

    private static void search(boolean enginesCheckTokens, List<Action> actions) {
        if (actions.size() == SEARCH_DEPTH) {
            assertWithMessage("%s", actions)
                    .that(fault(enginesCheckTokens, actions))
                    .isEqualTo(Optional.empty());
            return;
        }
        for (Action next : Action.values()) {
            List<Action> longer = new ArrayList<>(actions);
            longer.add(next);
            search(enginesCheckTokens, longer);
        }
    }

    /** A row from the past let an entry claim a token that another one had used, or a lease that was in force. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void noOrderOfCallsLeadsToTwoLeadersWithOneToken(boolean enginesCheckTokens) {
        search(enginesCheckTokens, new ArrayList<>());
    }

    /** A leader whose row was lost ordered nothing until its lease would have ended. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void leaderClaimsItsLeaseAgainAtOnceWithAHigherToken(boolean enginesCheckTokens) {
        World world = leading(enginesCheckTokens);
        FencingToken before = world.first.token();
        world.store.restore(2);
        for (long passedMs = 0; passedMs < LONG_WAIT_MS; passedMs += 50) {
            world.call(world.first);
            world.pass(50);
            assertWithMessage("after %s ms", passedMs)
                    .that(world.first.mayOrder(world.nowMs, world.wallMs()))
                    .isTrue();
        }
        assertWithMessage("token after %s", before)
                .that(world.first.token().value())
                .isGreaterThan(before.value());
    }

    /** A restored row that names a lost leader would keep all entries from leading if nobody took it over. */
    @Test
    void anotherEntryTakesOverAfterARestoreIfTheLeaderIsLost() {
        World world = leading(true);
        world.apply(Action.RESTORE_TWO_WRITES);
        world.apply(Action.SECOND_CALLS);
        world.apply(Action.LONG_WAIT);
        world.apply(Action.SECOND_CALLS);
        assertWithMessage("second leads").that(world.second.leading()).isTrue();
    }

    /** A first leader was missed for the time of a lease where nothing can be lost that engines would not refuse. */
    @ParameterizedTest
    @CsvSource({"true, true", "false, false"})
    void missingRowFreesTheLeaseAtOnceOnlyIfEnginesCheckTokens(boolean enginesCheckTokens, boolean leads) {
        World world = new World(enginesCheckTokens);
        world.pass(50);
        world.call(world.first);
        assertWithMessage("leads").that(world.first.leading()).isEqualTo(leads);
    }

    /** Returns a world in which the first entry has won the lease and renewed it. */
    private static World leading(boolean enginesCheckTokens) {
        World world = new World(enginesCheckTokens);
        world.pass(50);
        world.call(world.first);
        // A new entry waits for a lease whose row may be lost.
        world.pass(LONG_WAIT_MS);
        for (int i = 0; i < 4; i++) {
            world.apply(Action.FIRST_CALLS);
        }
        return world;
    }
}
