package org.hawthornglade.gateway.leader;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.hawthornglade.core.dispatch.CallView;
import org.hawthornglade.core.dispatch.ModelDemand;
import org.hawthornglade.core.fleet.Fleet;
import org.hawthornglade.core.fleet.InstanceAddress;
import org.hawthornglade.core.fleet.InstanceRecord;
import org.hawthornglade.core.fleet.Variant;
import org.hawthornglade.core.id.FailureDomain;
import org.hawthornglade.core.id.InstanceId;
import org.hawthornglade.core.id.ModelName;
import org.hawthornglade.core.id.ServiceName;
import org.hawthornglade.core.id.SoftwareVersion;
import org.hawthornglade.core.replica.EntryDemand;
import org.hawthornglade.core.replica.VariantDemand;
import org.hawthornglade.core.serving.CallKind;
import org.hawthornglade.core.serving.Route;
import org.hawthornglade.gateway.exchange.WaitingCalls;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** The demand that an entry reports for calls that it has answered with Retry-After, and for leaving instances. */
class DemandCollectorTest {
    private static final ServiceName SERVICE = ServiceName.of("drafts");
    private static final ModelName MODEL = ModelName.of("m0");
    private static final long ARRIVED_AT_MS = 1_000;
    private static final long BORN_MS = 77;

    @ParameterizedTest
    @CsvSource({"1500, 1", "4000, 1", "4001, 0"})
    void callWithRetryAfterCountsAsDemandUntilItsRetryTime(long nowMs, int calls) {
        WaitingCalls waiting = new WaitingCalls();
        DemandCollector collector = new DemandCollector("entry-a", new Fleet(), waiting);
        CallView call = call();
        collector.onCall(call);
        waiting.expectedRetries().add(call, 4_000);
        EntryDemand demand = collector.collect(true, nowMs).services().get(SERVICE);
        List<VariantDemand> expected = calls == 0
                ? List.of()
                : List.of(new VariantDemand(new Variant(MODEL, Optional.empty()), 1, 1, ARRIVED_AT_MS + 800 - nowMs));
        assertThat(demand.waiting()).isEqualTo(expected);
    }

    /** Lets the leader replace the replicas of a leaving engine before the list of instances shows that it leaves. */
    @Test
    void leavingInstanceIsReportedWithItsStartTime() {
        Fleet fleet = new Fleet();
        fleet.onSnapshot(List.of(record("i-1"), record("i-2")), 0);
        fleet.endpoint(InstanceId.of("i-2")).orElseThrow().notices().leaving().markReceived();
        DemandCollector collector = new DemandCollector("entry-a", fleet, new WaitingCalls());
        collector.onCall(call());
        EntryDemand demand = collector.collect(false, 2_000).services().get(SERVICE);
        assertThat(demand.leavingInstances()).containsExactly(InstanceId.of("i-2"), BORN_MS);
    }

    private static InstanceRecord record(String id) {
        return new InstanceRecord(
                InstanceId.of(id),
                SERVICE,
                SoftwareVersion.of("v1"),
                new InstanceAddress("10.0.0.1", 8_000),
                FailureDomain.of("zone-a"),
                64,
                false,
                OptionalLong.empty(),
                BORN_MS,
                1,
                Map.of(),
                Set.of(),
                Set.of());
    }

    private static CallView call() {
        Route route =
                new Route("r", "h.example", "/r/", CallKind.STREAM, 15_000, 800, 500, 4_000, 1, 0, true, List.of());
        ModelDemand demand = new ModelDemand(MODEL, Optional.empty(), 3_000, 50, List.of());
        return new CallView(SERVICE, route, Optional.of(demand), ARRIVED_AT_MS, ARRIVED_AT_MS + 5_000);
    }
}
