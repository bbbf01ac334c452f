package org.hawthornglade.core.dispatch;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Optional;
import org.hawthornglade.core.fleet.Endpoint;
import org.hawthornglade.core.fleet.Fleet;
import org.hawthornglade.core.fleet.Records;
import org.hawthornglade.core.id.InstanceId;
import org.hawthornglade.core.id.ModelName;
import org.hawthornglade.core.id.SoftwareVersion;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Whether a call could be sent elsewhere while an endpoint has it. */
class DispatcherAlternativeTest {
    private static final long NOW_MS = 10_000;
    private static final InstanceId CURRENT = InstanceId.of("current");
    private static final InstanceId OTHER = InstanceId.of("other");
    private static final ModelDemand DEMAND =
            new ModelDemand(ModelName.of("m0"), Optional.empty(), 3_000, 50, List.of());

    private final Fleet fleet = new Fleet();
    private final CallView call = ReplicaWaitTest.call(DEMAND, NOW_MS);
    private final Dispatcher dispatcher = new Dispatcher(
            fleet,
            new LeastLoadedSelector(Records.DOMAIN),
            new FirstTokenSelector(Records.DOMAIN, service -> ReplicaWaitTest.engine()));

    private enum Obstacle {
        NONE,
        NOT_LISTED,
        OTHER_MODEL,
        FULL,
        PAUSED,
        IN_BACKOFF,
        TRIED,
        OTHER_VERSION
    }

    /** Guards against a call that is taken from its endpoint when no other one can start it. */
    @ParameterizedTest
    @EnumSource
    void onlyAnEndpointThatCanStartTheCallNowIsAnAlternative(Obstacle obstacle) {
        List<String> models = List.of(obstacle == Obstacle.OTHER_MODEL ? "m1" : "m0");
        fleet.onSnapshot(
                List.of(
                        Records.ready(CURRENT.value(), List.of("m0"), List.of()),
                        Records.ready(OTHER.value(), models, List.of())),
                0);
        obstruct(obstacle, fleet.endpoint(OTHER).orElseThrow());
        Optional<InstanceId> found =
                dispatcher.alternative(call, CURRENT, NOW_MS).map(Endpoint::id);
        assertThat(found).isEqualTo(obstacle == Obstacle.NONE ? Optional.of(OTHER) : Optional.empty());
    }

    private void obstruct(Obstacle obstacle, Endpoint endpoint) {
        switch (obstacle) {
            case NONE, OTHER_MODEL -> {}
            case NOT_LISTED -> fleet.onRemoved(OTHER, NOW_MS);
            case FULL -> endpoint.load().updateOthers(64, NOW_MS);
            case PAUSED -> endpoint.notices().pause().receive(5_000, NOW_MS);
            case IN_BACKOFF -> {
                for (int i = 0; i < 10; i++) {
                    endpoint.health().onFailure(NOW_MS);
                }
            }
            case TRIED -> call.tried().add(OTHER);
            case OTHER_VERSION -> call.onStreamBegun(SoftwareVersion.of("v2"));
        }
    }
}
