package org.hawthornglade.core.dispatch;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import org.hawthornglade.core.fleet.Fleet;
import org.hawthornglade.core.fleet.InstancePlacement;
import org.hawthornglade.core.fleet.Records;
import org.hawthornglade.core.fleet.ReplicaState;
import org.hawthornglade.core.fleet.ReplicaStatus;
import org.hawthornglade.core.id.InstanceId;
import org.hawthornglade.core.id.ModelName;
import org.hawthornglade.core.result.ResultCode;
import org.hawthornglade.core.serving.CallKind;
import org.hawthornglade.core.serving.EngineDefinition;
import org.hawthornglade.core.serving.ModelDefinition;
import org.hawthornglade.core.serving.Route;
import org.hawthornglade.core.serving.WeightedService;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Calls for models that are not loaded: a call waits only for a load that ends before its caller abandons it. */
class ReplicaWaitTest {
    private static final long NOW_MS = 10_000;
    private static final long ABANDON_MS = 4_000;
    private static final ModelName MODEL = ModelName.of("m0");

    private final Fleet fleet = new Fleet();

    @ParameterizedTest
    @CsvSource({"0, true", "3800, true", "3950, false", "6000, false"})
    void callWaitsForALoadThatEndsInTimeAndIsElseRefusedUntilItEnds(long readyInMs, boolean waits) {
        fleet.onSnapshot(List.of(Records.ready("a", List.of(), List.of())), 0);
        reportReplica(ReplicaStatus.LOADING, NOW_MS + readyInMs);
        Decision expected = waits
                ? new Decision.Wait("replica-coming", OptionalLong.of(NOW_MS + readyInMs))
                : new Decision.Refuse(ResultCode.DEADLINE_NOT_REACHABLE, readyInMs);
        assertThat(decide(call(MODEL, NOW_MS), NOW_MS)).isEqualTo(expected);
    }

    @Test
    void callForAnUnconfiguredModelIsRefusedAtOnce() {
        fleet.onSnapshot(List.of(Records.ready("a", List.of(), List.of())), 0);
        Decision decision = decide(call(ModelName.of("unknown"), NOW_MS), NOW_MS);
        assertThat(((Decision.Refuse) decision).code()).isEqualTo(ResultCode.MODEL_NOT_LOADED);
    }

    @ParameterizedTest
    @CsvSource({"0, true", "1999, true", "2001, false"})
    void withoutAnExpectedTimeACallWaitsHalfOfItsAbandonTime(long waitedMs, boolean waits) {
        fleet.onSnapshot(List.of(Records.ready("a", List.of(), List.of())), 0);
        Decision decision = decide(call(MODEL, NOW_MS), NOW_MS + waitedMs);
        assertThat(decision instanceof Decision.Wait).isEqualTo(waits);
    }

    @Test
    void abandonTimeOfAStreamCountsFromItsLastEvent() {
        fleet.onSnapshot(List.of(Records.ready("a", List.of(), List.of())), 0);
        CallView call = call(MODEL, NOW_MS);
        call.onProgress(NOW_MS + 3_000);
        assertThat(call.abandonAtMs()).isEqualTo(NOW_MS + 3_000 + ABANDON_MS);
        assertThat(decide(call, NOW_MS + 3_500)).isInstanceOf(Decision.Wait.class);
    }

    @Test
    void readyReplicaIsUsedWhileAnotherLoads() {
        fleet.onSnapshot(
                List.of(Records.ready("a", List.of(), List.of()), Records.ready("b", List.of("m0"), List.of())), 0);
        reportReplica(ReplicaStatus.LOADING, NOW_MS + 9_000);
        assertThat(decide(call(MODEL, NOW_MS), NOW_MS)).isInstanceOf(Decision.Send.class);
    }

    private void reportReplica(ReplicaStatus status, long readyAtMs) {
        Map<ModelName, ReplicaState> models = Map.of(MODEL, new ReplicaState(status, readyAtMs, Map.of()));
        fleet.onPlacement(new InstancePlacement(InstanceId.of("a"), 1, models));
    }

    static EngineDefinition engine() {
        ModelDefinition model = new ModelDefinition(MODEL, 70_000, 6_000, 800, 800, 50);
        return new EngineDefinition(64, 200_000, 142_000, 4, 2, Map.of(MODEL, model));
    }

    private Decision decide(CallView call, long nowMs) {
        FirstTokenSelector generations = new FirstTokenSelector(Records.DOMAIN, service -> engine());
        return new Dispatcher(fleet, new LeastLoadedSelector(Records.DOMAIN), generations).decide(call, nowMs);
    }

    private static CallView call(ModelName model, long arrivedAtMs) {
        return call(new ModelDemand(model, Optional.empty(), 3_000, 50, List.of()), arrivedAtMs);
    }

    /** Returns a call of a caller that waits for {@link #ABANDON_MS} for the first event. */
    static CallView call(ModelDemand demand, long arrivedAtMs) {
        Route route = new Route(
                "r",
                "h.example",
                "/r/",
                CallKind.STREAM,
                15_000,
                800,
                500,
                ABANDON_MS,
                1,
                0,
                true,
                List.of(new WeightedService(Records.SERVICE, 1)));
        return new CallView(Records.SERVICE, route, Optional.of(demand), arrivedAtMs, arrivedAtMs + 15_000);
    }
}
