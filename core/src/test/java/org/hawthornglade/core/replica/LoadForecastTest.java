package org.hawthornglade.core.replica;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.hawthornglade.core.id.ModelName;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** When the models that calls wait for will be there, as entries are told. */
class LoadForecastTest {
    private static Map<String, Long> forecast(ReplicaFixture world) {
        Map<String, Long> readyInMs = new TreeMap<>();
        world.planner
                .forecast(world.books, world.nowMs)
                .forEach((instance, models) ->
                        models.forEach((model, atMs) -> readyInMs.put(instance + " " + model, atMs - world.nowMs)));
        return readyInMs;
    }

    @Test
    void modelsOnOneDiskQueueAtItsEngine() {
        ReplicaFixture world = new ReplicaFixture(5, 0)
                .engine("a", List.of("m0"), List.of("m0", "m1", "m2"))
                .engine("b", List.of("m3"), List.of("m3"));
        world.waiting(2_000, "m1", "m2");
        assertThat(forecast(world)).containsExactly("a m1", ReplicaFixture.DISK_MS, "a m2", 2 * ReplicaFixture.DISK_MS);
    }

    @Test
    void aLoadUnderWayIsWaitedForWhereThatIsSooner() {
        ReplicaFixture world = new ReplicaFixture(4, 2).engine("a", List.of("m0"), List.of("m0", "m1", "m2"));
        world.waiting(2_000, "m1");
        assertThat(world.plan()).containsExactly("a LOAD m1");
        world.answer(OrderOutcome.ACCEPTED);
        world.nowMs += 300;
        world.waiting(2_000, "m1", "m2");
        assertThat(forecast(world)).containsExactly("a m2", 500 + ReplicaFixture.DISK_MS);
    }

    /** Callers are told of no more loads at once than may run. */
    @ParameterizedTest
    @ValueSource(ints = {1, 2, 4})
    void asManyLoadsFromTheStoreRunAtOnceAsArePacedAndTheNextFollow(int atOnce) {
        int engines = 5;
        ReplicaFixture world = new ReplicaFixture(engines, 2);
        world.pacer.adopt(new LoadLimits(atOnce, atOnce), world.nowMs);
        String[] models = new String[engines];
        List<Long> expected = new ArrayList<>();
        for (int i = 0; i < engines; i++) {
            expected.add((i / atOnce + 1) * ReplicaFixture.REMOTE_MS);
        }
        for (int i = 0; i < engines; i++) {
            world.engine("e" + i, List.of(), List.of());
            models[i] = "m" + i;
        }
        world.waiting(2_000, models);
        assertThat(forecast(world).values()).containsExactlyElementsIn(expected);
    }

    @Test
    void whatIsReadyOrUnknownIsNotForetold() {
        ReplicaFixture world = new ReplicaFixture(2, 2).engine("a", List.of("m0"), List.of("m0"));
        world.waiting(2_000, "m0", "m9");
        assertThat(forecast(world)).isEmpty();
    }

    @Test
    void entriesAreToldWhereAModelWillBe() {
        ReplicaFixture world = new ReplicaFixture(2, 2).engine("a", List.of("m0"), List.of("m0", "m1"));
        Map<ModelName, Long> foretold = Map.of(ModelName.of("m0"), 5L, ModelName.of("m1"), 900L);
        assertThat(world.books.get(0).placement(foretold, 10).models().values().stream()
                        .map(state -> state.status() + " " + state.readyAtMs()))
                .containsExactly("READY 0", "LOADING 900");
    }
}
