package org.hawthornglade.entry.placement;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.hawthornglade.core.config.ConfigurationHolder;
import org.hawthornglade.core.event.Timeline;
import org.hawthornglade.core.id.FailureDomain;
import org.hawthornglade.core.id.InstanceId;
import org.hawthornglade.core.id.OfficeId;
import org.hawthornglade.core.id.PlanId;
import org.hawthornglade.core.placement.AssignmentRow;
import org.hawthornglade.core.placement.Availability;
import org.hawthornglade.core.placement.PlacementInstance;
import org.hawthornglade.core.plan.IntentJson;
import org.hawthornglade.core.plan.Plan;
import org.hawthornglade.core.plan.Planner;
import org.hawthornglade.core.plan.PlanningContext;
import org.hawthornglade.core.time.ManualClock;
import org.hawthornglade.ports.configuration.AssignmentStore;
import org.hawthornglade.ports.configuration.ConfigurationStore;
import org.hawthornglade.standin.table.InMemoryTableService;
import org.hawthornglade.standin.table.TableSettings;

/** A test fixture: the reconcilers of two entries that share one table service, and a list of instances. */
final class Cluster {
    private static final String INTENT = """
            {"organisations": [{"id": "mills", "maxAccelerators": 100}],
             "classes": [{"name": "drafting", "defaultDeadlineMs": 2000, "maxQueued": 10}],
             "models": [{"name": "quote", "version": "1", "memoryMb": 100, "maxReplicas": %d,
                         "organisations": ["mills"], "serviceClass": "drafting"}]}""";

    final ManualClock clock = new ManualClock(1_000_000);
    final InMemoryTableService table = new InMemoryTableService(TableSettings.of("table"), clock);
    final ConfigurationStore configurations = new ConfigurationStore(table);
    final AssignmentStore assignments = new AssignmentStore(table);
    final ConfigurationHolder firstHolder = new ConfigurationHolder();
    final ConfigurationHolder secondHolder = new ConfigurationHolder();
    final Reconciler first = reconciler(firstHolder);
    final Reconciler second = reconciler(secondHolder);
    boolean goneInstancesRespond;
    private final Map<InstanceId, PlacementInstance> instances = new TreeMap<>();

    /** Confirms a configuration in which the model "quote" has at most {@code maxReplicas} replicas. */
    void confirm(int maxReplicas) {
        clock.advance(1_000);
        PlanningContext context =
                new PlanningContext(configurations.newest().get(), List.of(), List.of(), List.of(), List.of());
        Plan plan = Planner.plan(
                        PlanId.of("plan-" + context.configuration().version()),
                        OfficeId.of("north"),
                        IntentJson.read(INTENT.formatted(maxReplicas)).get(),
                        context,
                        clock.nowMs())
                .get();
        configurations.confirm(plan, clock.nowMs()).get();
    }

    /** Adds an instance, or replaces the one with the same id. */
    void addInstance(String id, Availability availability) {
        InstanceId instance = InstanceId.of(id);
        instances.put(instance, new PlacementInstance(instance, FailureDomain.of("east"), 1_000, 4, availability));
    }

    List<AssignmentRow> rows() {
        return assignments.rows().get();
    }

    private Reconciler reconciler(ConfigurationHolder holder) {
        return new Reconciler(
                configurations,
                assignments,
                holder,
                () -> new ArrayList<>(instances.values()),
                instance -> goneInstancesRespond,
                new Timeline("entry", 100, clock, event -> {}));
    }
}
