package org.hawthornglade.core.dispatch;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.hawthornglade.core.fleet.Endpoint;
import org.hawthornglade.core.fleet.Fleet;
import org.hawthornglade.core.fleet.Records;
import org.hawthornglade.core.id.InstanceId;
import org.hawthornglade.core.id.ModelName;
import org.hawthornglade.core.result.ResultCode;
import org.hawthornglade.core.serving.CallKind;
import org.hawthornglade.core.serving.Route;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Calls for endpoints that are in a retry-after pause. */
class PauseWaitTest {
    private static final long NOW_MS = 10_000;
    private static final long ABANDON_MS = 3_000;
    private static final ModelName MODEL = ModelName.of("m0");

    private final Fleet fleet = new Fleet();

    private Endpoint endpoint(String id) {
        return fleet.endpoint(InstanceId.of(id)).orElseThrow();
    }

    private void listEndpoints(List<String> models) {
        fleet.onSnapshot(List.of(Records.ready("a", models, List.of()), Records.ready("b", models, List.of())), 0);
    }

    private Decision decide(CallView call) {
        EndpointSelector selector = call.demand().isPresent()
                ? new FirstTokenSelector(Records.DOMAIN, service -> ReplicaWaitTest.engine())
                : new LeastLoadedSelector(Records.DOMAIN);
        return selector.select(call, fleet.usable(Records.SERVICE), NOW_MS);
    }

    private static CallView call(boolean generation) {
        Route route = new Route(
                "r", "h.example", "/r/", CallKind.STREAM, 15_000, 800, 500, ABANDON_MS, 1, 0, true, List.of());
        Optional<ModelDemand> demand = generation
                ? Optional.of(new ModelDemand(MODEL, Optional.empty(), 300, 50, List.of()))
                : Optional.empty();
        return new CallView(Records.SERVICE, route, demand, NOW_MS, NOW_MS + ABANDON_MS);
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void pausedEndpointIsNotSelected(boolean generation) {
        listEndpoints(List.of("m0"));
        endpoint("a").notices().pause().receive(5_000, NOW_MS);
        Decision decision = decide(call(generation));
        assertThat(((Decision.Send) decision).endpoint().id().value()).isEqualTo("b");
    }

    /** A caller is sent away if the pause ends within a third of its remaining time; otherwise the call waits. */
    @ParameterizedTest
    @CsvSource({
        "true, 500, false", "true, 1500, true", "true, 3500, false",
        "false, 500, false", "false, 1500, true", "false, 3500, false"
    })
    void ifAllArePausedACallWaitsOrIsRefusedUntilTheEarliestEnd(boolean generation, long untilMs, boolean waits) {
        listEndpoints(List.of("m0"));
        endpoint("a").notices().pause().receive(untilMs, NOW_MS);
        endpoint("b").notices().pause().receive(2 * untilMs, NOW_MS);
        Decision decision = decide(call(generation));
        if (waits) {
            assertThat(decision).isEqualTo(new Decision.Wait("endpoint-shut", OptionalLong.of(NOW_MS + untilMs)));
            return;
        }
        Decision.Refuse refusal = (Decision.Refuse) decision;
        assertThat(refusal.code()).isEqualTo(ResultCode.ENDPOINTS_SHUT);
        assertThat(refusal.retryAfterMs()).isAtLeast(untilMs);
        assertThat(refusal.retryAfterMs()).isAtMost(Math.max(untilMs, ABANDON_MS / 3));
    }

    @Test
    void retryAfterTimesAreJittered() {
        long[] retryAfterMs = new long[20];
        for (int i = 0; i < retryAfterMs.length; i++) {
            CallView call = new CallView(
                    Records.SERVICE, call(false).route(), Optional.empty(), NOW_MS + 3L * i, NOW_MS + ABANDON_MS);
            retryAfterMs[i] = ((Decision.Refuse) PauseWait.decide(call, NOW_MS + 600, NOW_MS)).retryAfterMs();
        }
        assertThat(java.util.Arrays.stream(retryAfterMs).distinct().count()).isAtLeast(10);
    }
}
