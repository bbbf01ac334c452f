package org.hawthornglade.core.dispatch;

import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Random;
import org.hawthornglade.core.fleet.Endpoint;
import org.hawthornglade.core.fleet.Fleet;
import org.hawthornglade.core.fleet.InstanceRecord;
import org.hawthornglade.core.fleet.PromptPart;
import org.hawthornglade.core.fleet.Records;
import org.hawthornglade.core.fleet.Variant;
import org.hawthornglade.core.id.FailureDomain;
import org.hawthornglade.core.id.ModelName;
import org.hawthornglade.core.id.PromptPartId;
import org.hawthornglade.core.notice.AdvertisedLimit;
import org.hawthornglade.core.pace.Pacing;
import org.hawthornglade.core.pace.PacingRules;
import org.hawthornglade.core.serving.CallKind;
import org.hawthornglade.core.serving.Route;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * The choice where nothing calls for pacing, on random states, beside the choice without any pacing code.
 *
 * <p>It guards deployments without the setting and without the fourth load number against a changed choice.
 */
class SelectorsWithoutPacingTest {
    private static final int STATES = 3_000;
    private static final ModelName MODEL = ModelName.of("m0");
    private static final List<FailureDomain> DOMAINS = List.of(Records.DOMAIN, FailureDomain.of("elsewhere"));

    private long nowMs;

    private Fleet randomFleet(Random random) {
        Fleet fleet = new Fleet();
        List<InstanceRecord> records = new ArrayList<>();
        int count = 1 + random.nextInt(8);
        for (int i = 0; i < count; i++) {
            List<String> models = random.nextInt(4) == 0 ? List.of("m1") : List.of("m0", "m1");
            records.add(Records.ready("i-" + i, models, List.of()));
        }
        fleet.onSnapshot(records, 0);
        for (Endpoint endpoint : fleet.all()) {
            randomise(endpoint, random);
        }
        return fleet;
    }

    private void randomise(Endpoint endpoint, Random random) {
        int calls = random.nextInt(66);
        for (int i = 0; i < calls; i++) {
            endpoint.load().begin(Optional.of(new Variant(MODEL, Optional.empty())), random.nextInt(5_000), 100);
            endpoint.load().endPrefill(random.nextBoolean() ? 100 : 0);
            // Measurements are taken in every deployment.
            endpoint.pace().onResponse("kind", random.nextInt(3_000), 100, calls, i + 1, nowMs - random.nextInt(3_000));
        }
        if (random.nextBoolean()) {
            endpoint.load().updateOthers(random.nextInt(70), nowMs - random.nextInt(3_000));
        }
        for (int i = random.nextInt(4); i > 0; i--) {
            endpoint.health().onFailure(nowMs - random.nextInt(2_000));
            endpoint.pace().limit().onTimeout(nowMs);
        }
        if (random.nextInt(8) == 0) {
            endpoint.health().onUnreachable(nowMs - random.nextInt(1_000));
            endpoint.pace().restart();
        }
        if (random.nextInt(8) == 0) {
            endpoint.notices().pause().receive(random.nextInt(4_000), nowMs - random.nextInt(4_000));
        }
        if (random.nextInt(8) == 0) {
            endpoint.notices().rateLimit().update(new AdvertisedLimit(OptionalDouble.of(5), nowMs - 10, nowMs));
            endpoint.permits().onLimitAdvertised(nowMs);
        }
        if (random.nextInt(3) == 0) {
            endpoint.prefixCache().add(MODEL.value(), prefix());
        }
    }

    private static List<PromptPart> prefix() {
        return List.of(new PromptPart(PromptPartId.of("p0"), 500), new PromptPart(PromptPartId.of("p1"), 200));
    }

    private CallView randomCall(Random random, Fleet fleet, boolean generation) {
        Route route =
                new Route("r", "h.example", "/r/", CallKind.STREAM, 15_000, 800, 500, 3_000, 2, 0, true, List.of());
        Optional<ModelDemand> demand = generation
                ? Optional.of(new ModelDemand(MODEL, Optional.empty(), 700 + random.nextInt(9_000), 80, prefix()))
                : Optional.empty();
        long arrivedAtMs = nowMs - random.nextInt(1_000);
        CallView call = new CallView(Records.SERVICE, route, demand, arrivedAtMs, arrivedAtMs + 4_000);
        for (Endpoint endpoint : fleet.all()) {
            if (random.nextInt(6) == 0) {
                call.tried().add(endpoint.id());
            }
        }
        return call;
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void choiceIsTheSame(boolean generation) {
        Random random = new Random(20);
        int sent = 0;
        for (int state = 0; state < STATES; state++) {
            nowMs = 10_000 + state * 1_000L;
            Fleet fleet = randomFleet(random);
            CallView call = randomCall(random, fleet, generation);
            FailureDomain domain = DOMAINS.get(random.nextInt(DOMAINS.size()));
            Pacing off = new Pacing(PacingRules.NONE, () -> 31, new Random(state));
            EndpointSelector former = generation
                    ? new UnpacedFirstTokenSelector(domain, service -> ReplicaWaitTest.engine())
                    : new UnpacedLeastLoadedSelector(domain);
            EndpointSelector selector = generation
                    ? new FirstTokenSelector(domain, service -> ReplicaWaitTest.engine(), off)
                    : new LeastLoadedSelector(domain, off);
            List<Endpoint> usable = fleet.usable(Records.SERVICE);
            Decision expected = former.select(call, usable, nowMs);
            assertWithMessage("state %s", state)
                    .that(selector.select(call, usable, nowMs))
                    .isEqualTo(expected);
            sent += expected instanceof Decision.Send ? 1 : 0;
        }
        assertWithMessage("states in which a call is sent").that(sent).isAtLeast(STATES / 4);
    }
}
