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

/** Forecasts of when the models that calls wait for will be ready, as they are published to the entries. */
class LoadForecastTest {
    private static Map<String, Long> forecast(ReplicaFixture fixture) {
        Map<String, Long> readyInMs = new TreeMap<>();
        fixture.planner
                .forecast(fixture.trackers, fixture.nowMs)
                .forEach((instance, models) ->
                        models.forEach((model, atMs) -> readyInMs.put(instance + " " + model, atMs - fixture.nowMs)));
        return readyInMs;
    }

    @Test
    void modelsOnOneDiskAreLoadedOneAfterAnother() {
        ReplicaFixture fixture = new ReplicaFixture(5, 0)
                .engine("a", List.of("m0"), List.of("m0", "m1", "m2"))
                .engine("b", List.of("m3"), List.of("m3"));
        fixture.waiting(2_000, "m1", "m2");
        assertThat(forecast(fixture))
                .containsExactly("a m1", ReplicaFixture.DISK_MS, "a m2", 2 * ReplicaFixture.DISK_MS);
    }

    @Test
    void aLoadInProgressIsWaitedForWhereThatIsSooner() {
        ReplicaFixture fixture = new ReplicaFixture(4, 2).engine("a", List.of("m0"), List.of("m0", "m1", "m2"));
        fixture.waiting(2_000, "m1");
        assertThat(fixture.plan()).containsExactly("a LOAD m1");
        fixture.answer(OrderOutcome.ACCEPTED);
        fixture.nowMs += 300;
        fixture.waiting(2_000, "m1", "m2");
        assertThat(forecast(fixture)).containsExactly("a m2", 500 + ReplicaFixture.DISK_MS);
    }

    /** A forecast of more concurrent loads than may run would give callers wait estimates that are too short. */
    @ParameterizedTest
    @ValueSource(ints = {1, 2, 4})
    void forecastsNoMoreConcurrentStoreLoadsThanTheLimit(int limit) {
        int engines = 5;
        ReplicaFixture fixture = new ReplicaFixture(engines, 2);
        fixture.pacer.adopt(new LoadLimits(limit, limit), fixture.nowMs);
        String[] models = new String[engines];
        List<Long> expected = new ArrayList<>();
        for (int i = 0; i < engines; i++) {
            expected.add((i / limit + 1) * ReplicaFixture.REMOTE_MS);
        }
        for (int i = 0; i < engines; i++) {
            fixture.engine("e" + i, List.of(), List.of());
            models[i] = "m" + i;
        }
        fixture.waiting(2_000, models);
        assertThat(forecast(fixture).values()).containsExactlyElementsIn(expected);
    }

    @Test
    void readyAndUnknownModelsAreNotForecast() {
        ReplicaFixture fixture = new ReplicaFixture(2, 2).engine("a", List.of("m0"), List.of("m0"));
        fixture.waiting(2_000, "m0", "m9");
        assertThat(forecast(fixture)).isEmpty();
    }

    @Test
    void thePublishedPlacementContainsForecastModels() {
        ReplicaFixture fixture = new ReplicaFixture(2, 2).engine("a", List.of("m0"), List.of("m0", "m1"));
        Map<ModelName, Long> forecast = Map.of(ModelName.of("m0"), 5L, ModelName.of("m1"), 900L);
        assertThat(fixture.trackers.get(0).placement(forecast, 10).models().values().stream()
                        .map(state -> state.status() + " " + state.readyAtMs()))
                .containsExactly("READY 0", "LOADING 900");
    }
}
