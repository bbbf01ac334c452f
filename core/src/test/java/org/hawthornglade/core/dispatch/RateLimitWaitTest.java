package org.hawthornglade.core.dispatch;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import org.hawthornglade.core.fleet.Endpoint;
import org.hawthornglade.core.fleet.Fleet;
import org.hawthornglade.core.fleet.InstancePlacement;
import org.hawthornglade.core.fleet.Records;
import org.hawthornglade.core.fleet.ReplicaState;
import org.hawthornglade.core.fleet.ReplicaStatus;
import org.hawthornglade.core.id.InstanceId;
import org.hawthornglade.core.id.ModelName;
import org.hawthornglade.core.notice.AdvertisedLimit;
import org.hawthornglade.core.result.ResultCode;
import org.hawthornglade.core.serving.CallKind;
import org.hawthornglade.core.serving.Route;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Calls for endpoints with a rate limit shared by all entries. */
class RateLimitWaitTest {
    private static final long NOW_MS = 10_000;
    private static final long ABANDON_MS = 3_000;

    private final Fleet fleet = new Fleet();

    RateLimitWaitTest() {
        fleet.onSnapshot(
                List.of(Records.ready("a", List.of("m0"), List.of()), Records.ready("b", List.of("m0"), List.of())), 0);
    }

    private Endpoint endpoint(String id) {
        return fleet.endpoint(InstanceId.of(id)).orElseThrow();
    }

    private void limit(String id, double perSecond, int permits, int othersWaiting) {
        endpoint(id).notices().rateLimit().update(new AdvertisedLimit(OptionalDouble.of(perSecond), 0, 10));
        endpoint(id).permits().onUpdate(permits, NOW_MS, othersWaiting, NOW_MS);
    }

    private Decision decide(boolean generation, long nowMs) {
        Route route = new Route(
                "r", "h.example", "/r/", CallKind.STREAM, 15_000, 800, 500, ABANDON_MS, 1, 0, true, List.of());
        Optional<ModelDemand> demand = generation
                ? Optional.of(new ModelDemand(ModelName.of("m0"), Optional.empty(), 300, 50, List.of()))
                : Optional.empty();
        CallView call = new CallView(Records.SERVICE, route, demand, nowMs, nowMs + ABANDON_MS);
        EndpointSelector selector = generation
                ? new FirstTokenSelector(Records.DOMAIN, service -> ReplicaWaitTest.engine())
                : new LeastLoadedSelector(Records.DOMAIN);
        return selector.select(call, fleet.usable(Records.SERVICE), nowMs);
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void endpointWithAPermitIsSelectedLikeAnyOther(boolean generation) {
        limit("a", 1, 1, 0);
        limit("b", 1, 0, 0);
        Decision decision = decide(generation, NOW_MS);
        assertThat(((Decision.Send) decision).endpoint()).isEqualTo(endpoint("a"));
    }

    /**
     * A call must not pass over an unlimited endpoint for long: it requests a permit only while a leader grants them.
     */
    @ParameterizedTest
    @CsvSource({"true, 2600", "false, 2600"})
    void callGoesToAnotherEndpointWhileNoLeaderGrantsPermits(boolean generation, long silentMs) {
        limit("a", 1, 0, 0);
        Decision decision = decide(generation, NOW_MS + silentMs);
        assertThat(((Decision.Send) decision).endpoint()).isEqualTo(endpoint("b"));
    }

    /** A call queues behind those that wait: it waits if its permit is expected in time and is refused otherwise. */
    @ParameterizedTest
    @CsvSource({"true, 1, 1, true", "true, 1, 5, false", "false, 1, 1, true", "false, 0.5, 2, false"})
    void ifAllAreLimitedACallWaitsForItsPermitOrIsRefusedAtOnce(
            boolean generation, double perSecond, int others, boolean waits) {
        limit("a", perSecond, 0, others);
        limit("b", perSecond, 0, others + 3);
        endpoint("a").permits().joinBriefly(NOW_MS);
        endpoint("a").permits().onUpdate(0, NOW_MS, others, NOW_MS);
        Decision decision = decide(generation, NOW_MS);
        long permitMs = Math.round((others + 1) * 1_000 / perSecond);
        if (waits) {
            Decision.AwaitPermit decided = (Decision.AwaitPermit) decision;
            assertThat(decided.endpoint()).isEqualTo(endpoint("a"));
            assertThat(decided.briefly()).isFalse();
            assertThat(decided.expectedAtMs().getAsLong()).isEqualTo(NOW_MS + permitMs);
            return;
        }
        Decision.Refuse refusal = (Decision.Refuse) decision;
        assertThat(refusal.code()).isEqualTo(ResultCode.ENDPOINTS_LIMITED);
        assertThat(refusal.retryAfterMs()).isAtLeast(permitMs);
        assertThat(refusal.retryAfterMs()).isAtMost(permitMs + permitMs / 4);
    }

    /** If the model is ready earlier at an endpoint without a limit, the call waits for the load, not for a permit. */
    @ParameterizedTest
    @CsvSource({"900, true", "4000, false"})
    void callWaitsForALoadThatEndsBeforeItsPermit(long loadedAfterMs, boolean waits) {
        fleet.onChanged(Records.ready("c", List.of(), List.of("m0")), 0);
        ModelName model = ModelName.of("m0");
        ReplicaState loading = new ReplicaState(ReplicaStatus.LOADING, NOW_MS + loadedAfterMs, Map.of());
        fleet.onPlacement(new InstancePlacement(InstanceId.of("c"), 1, Map.of(model, loading)));
        limit("a", 1, 0, 5);
        limit("b", 1, 0, 8);
        endpoint("a").permits().joinBriefly(NOW_MS);
        endpoint("a").permits().onUpdate(0, NOW_MS, 5, NOW_MS);
        Decision decision = decide(true, NOW_MS);
        if (waits) {
            assertThat(decision)
                    .isEqualTo(new Decision.Wait("replica-coming", OptionalLong.of(NOW_MS + loadedAfterMs)));
            return;
        }
        assertThat(((Decision.Refuse) decision).retryAfterMs()).isAtMost(5_000);
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void ifAllAreLimitedAndNoLeaderGrantsPermitsACallIsRefusedAtOnce(boolean generation) {
        limit("a", 1, 0, 0);
        limit("b", 1, 0, 0);
        Decision decision = decide(generation, NOW_MS + 2_600);
        assertThat(((Decision.Refuse) decision).code()).isEqualTo(ResultCode.ENDPOINTS_LIMITED);
    }
}
