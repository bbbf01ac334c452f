package org.hawthornglade.entry.placement;

import com.google.common.flogger.FluentLogger;
import io.vavr.control.Either;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import org.hawthornglade.core.assignment.AssignmentState;
import org.hawthornglade.core.config.Configuration;
import org.hawthornglade.core.config.ConfigurationHolder;
import org.hawthornglade.core.event.EventDraft;
import org.hawthornglade.core.event.EventKind;
import org.hawthornglade.core.event.Timeline;
import org.hawthornglade.core.id.InstanceId;
import org.hawthornglade.core.placement.AssignmentRow;
import org.hawthornglade.core.placement.Availability;
import org.hawthornglade.core.placement.Placement;
import org.hawthornglade.core.placement.PlacementInstance;
import org.hawthornglade.core.placement.RowChange;
import org.hawthornglade.core.result.Failure;
import org.hawthornglade.core.result.ResultCode;
import org.hawthornglade.ports.configuration.AssignmentStore;
import org.hawthornglade.ports.configuration.ConfigurationHead;
import org.hawthornglade.ports.configuration.ConfigurationStore;

/**
 * Writes the decisions of placement to the assignment rows.
 *
 * <p>Every entry may run it at any time: each write is conditional on an unchanged row and on the newest configuration,
 * so two reconcilers cannot undo each other's work.
 */
public final class Reconciler {
    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();

    private final ConfigurationStore configurations;
    private final AssignmentStore assignments;
    private final ConfigurationHolder holder;
    private final Supplier<List<PlacementInstance>> instances;
    private final GoneInstanceProbe probe;
    private final Timeline timeline;

    /**
     * Creates a reconciler.
     *
     * @param instances supplies the engine instances, as listed by the platform and reported by their agents
     * @param probe probes instances that are listed as gone
     */
    public Reconciler(
            ConfigurationStore configurations,
            AssignmentStore assignments,
            ConfigurationHolder holder,
            Supplier<List<PlacementInstance>> instances,
            GoneInstanceProbe probe,
            Timeline timeline) {
        this.configurations = configurations;
        this.assignments = assignments;
        this.holder = holder;
        this.instances = instances;
        this.probe = probe;
        this.timeline = timeline;
    }

    /**
     * Runs one pass: two reads of the table service, and a transaction for every few dozen changes.
     *
     * @return how many rows were changed; left with the failure that ended the pass
     */
    public Either<Failure, Integer> run() {
        return configurations.head().flatMap(this::runAt);
    }

    private Either<Failure, Integer> runAt(ConfigurationHead head) {
        Either<Failure, Configuration> newest = configurationAt(head);
        if (newest.isLeft()) {
            return Either.left(newest.getLeft());
        }
        return assignments.rows().flatMap(rows -> reconcile(newest.get(), head, rows));
    }

    private Either<Failure, Configuration> configurationAt(ConfigurationHead head) {
        Configuration current = holder.current();
        if (current.version() == head.version()) {
            return Either.right(current);
        }
        Either<Failure, Optional<Configuration>> newer = configurations.snapshot(head.version());
        newer.peek(found -> found.ifPresent(holder::offer));
        return newer.flatMap(found -> found.<Either<Failure, Configuration>>map(Either::right)
                .orElseGet(() -> Either.left(
                        Failure.of(ResultCode.NOT_READY, "version " + head.version() + " is not available"))));
    }

    private Either<Failure, Integer> reconcile(
            Configuration configuration, ConfigurationHead head, List<AssignmentRow> rows) {
        List<RowChange> changes =
                Placement.decide(configuration, verifyGoneInstances(rows), rows).changes();
        if (changes.isEmpty()) {
            return Either.right(0);
        }
        Either<Failure, List<RowChange>> written = assignments.apply(changes, head);
        written.peek(done -> done.forEach(this::record));
        return written.map(List::size);
    }

    /**
     * Marks an instance that is listed as gone but still responds as leaving, so that it keeps its rows until it has
     * released them.
     */
    private List<PlacementInstance> verifyGoneInstances(List<AssignmentRow> rows) {
        Set<InstanceId> holders = rows.stream()
                .filter(row -> row.assignment().state() != AssignmentState.RELEASED)
                .map(row -> row.assignment().instance())
                .collect(Collectors.toSet());
        return instances.get().stream()
                .map(instance -> isRespondingGoneHolder(instance, holders) ? asLeaving(instance) : instance)
                .toList();
    }

    private boolean isRespondingGoneHolder(PlacementInstance instance, Set<InstanceId> holders) {
        boolean responds = instance.availability() == Availability.GONE
                && holders.contains(instance.id())
                && probe.isResponding(instance.id());
        if (responds) {
            LOG.atWarning().log("event=gone_instance_answers instance=%s", instance.id());
        }
        return responds;
    }

    private static PlacementInstance asLeaving(PlacementInstance instance) {
        return new PlacementInstance(
                instance.id(),
                instance.failureDomain(),
                instance.memoryMb(),
                instance.accelerators(),
                Availability.LEAVING);
    }

    private void record(RowChange change) {
        EventKind kind =
                switch (change.kind()) {
                    case INSERT -> EventKind.ASSIGNMENT_TAKEN;
                    case MOVE -> EventKind.ASSIGNMENT_MOVED;
                    case RELEASE, DELETE -> EventKind.ASSIGNMENT_RELEASED;
                };
        timeline.record(EventDraft.of(kind)
                .model(change.assignment().model())
                .instance(change.assignment().instance())
                .configVersion(holder.current().version())
                .detail("ordinal " + change.assignment().ordinal() + ": " + change.reason()));
    }
}
