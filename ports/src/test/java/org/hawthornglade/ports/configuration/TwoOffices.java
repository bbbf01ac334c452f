package org.hawthornglade.ports.configuration;

import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import org.hawthornglade.core.id.FailureDomain;
import org.hawthornglade.core.id.InstanceId;
import org.hawthornglade.core.id.OfficeId;
import org.hawthornglade.core.id.PlanId;
import org.hawthornglade.core.placement.Availability;
import org.hawthornglade.core.placement.PlacementInstance;
import org.hawthornglade.core.plan.Intent;
import org.hawthornglade.core.plan.IntentJson;
import org.hawthornglade.core.plan.NodeVersion;
import org.hawthornglade.core.plan.Plan;
import org.hawthornglade.core.time.ManualClock;
import org.hawthornglade.ports.table.FakeTable;

/** Provides the plan services of two offices at two entries over one fake table service. */
final class TwoOffices {
    static final OfficeId NORTH = OfficeId.of("north");
    static final OfficeId SOUTH = OfficeId.of("south");

    private static final String FIRST = """
            {"organisations": [{"id": "mills", "maxAccelerators": 20}],
             "classes": [{"name": "drafting", "defaultDeadlineMs": 2000, "maxQueued": 10}],
             "models": [{"name": "quote", "version": "1", "memoryMb": 100, "maxReplicas": 1,
                         "organisations": ["mills"], "serviceClass": "drafting"}]}""";

    final FakeTable table = new FakeTable();
    final ManualClock clock = new ManualClock(1_000_000);
    final ConfigurationStore configurations = new ConfigurationStore(table);
    final AssignmentStore assignments = new AssignmentStore(table);
    private final AtomicInteger plans = new AtomicInteger();
    final PlanService north = newPlanService();
    final PlanService south = newPlanService();

    /** Confirms a first configuration with the model "quote". */
    TwoOffices withFirstConfiguration() {
        Plan plan = north.plan(NORTH, intent(FIRST)).get();
        north.confirm(NORTH, plan.id()).get();
        return this;
    }

    static Intent intent(String json) {
        return IntentJson.read(json).get();
    }

    /** Returns an intent that sets one field of the model "quote". */
    static Intent setting(String field, int value) {
        return intent("{\"models\": [{\"name\": \"quote\", \"" + field + "\": " + value + "}]}");
    }

    long headVersion() {
        return configurations.head().get().version();
    }

    private PlanService newPlanService() {
        return new PlanService(
                configurations,
                new PlanStore(table),
                assignments,
                new OneInstance(),
                () -> PlanId.of("plan-" + plans.incrementAndGet()),
                clock);
    }

    private static final class OneInstance implements Fleet {
        @Override
        public List<PlacementInstance> instances() {
            return List.of(new PlacementInstance(
                    InstanceId.of("a"), FailureDomain.of("east"), 1_000, 4, Availability.AVAILABLE));
        }

        @Override
        public List<NodeVersion> nodes() {
            return List.of(new NodeVersion("a", 0));
        }
    }
}
