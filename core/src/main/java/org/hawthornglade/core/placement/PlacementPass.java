package org.hawthornglade.core.placement;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.hawthornglade.core.assignment.Assignment;
import org.hawthornglade.core.assignment.AssignmentState;
import org.hawthornglade.core.config.Configuration;
import org.hawthornglade.core.config.ModelSpec;
import org.hawthornglade.core.id.FailureDomain;
import org.hawthornglade.core.id.InstanceId;
import org.hawthornglade.core.id.ModelName;

/** Runs one placement pass over the assignment rows. */
final class PlacementPass {
    private final Configuration configuration;
    private final Map<ModelName, Footprint> footprints;
    private final Map<ModelName, Integer> maxReplicas = new HashMap<>();
    private final Map<InstanceId, InstanceLoad> loads = new TreeMap<>();
    private final Map<ModelName, Map<FailureDomain, Integer>> replicasByDomain = new HashMap<>();
    private final Map<ModelName, Integer> occupiedRows = new HashMap<>();
    private final Set<String> rowKeys = new HashSet<>();
    private final List<Vacancy> vacancies = new ArrayList<>();
    private final List<RowChange> changes = new ArrayList<>();
    private final List<UnplacedReplica> unplaced = new ArrayList<>();

    /** A replica that needs an instance; {@code revision} is 0 if it has no row yet. */
    private record Vacancy(ModelName model, int ordinal, Footprint footprint, long revision, String reason) {}

    PlacementPass(Configuration configuration, Collection<PlacementInstance> instances) {
        this.configuration = configuration;
        this.footprints = Footprint.of(configuration);
        configuration.models().forEach(model -> maxReplicas.put(model.name(), model.maxReplicas()));
        instances.forEach(instance -> loads.put(instance.id(), new InstanceLoad(instance)));
    }

    PlacementResult result() {
        return new PlacementResult(changes, unplaced);
    }

    /** Decides about the existing rows. */
    void review(List<AssignmentRow> rows) {
        for (AssignmentRow row : rows) {
            rowKeys.add(row.assignment().key());
            if (isWanted(row.assignment())) {
                reviewWanted(row);
            } else {
                reviewSurplus(row);
            }
        }
    }

    /** Assigns an instance to each replica that has none. */
    void place() {
        for (ModelSpec model : configuration.models()) {
            addMissing(model);
        }
        vacancies.sort(Comparator.comparingInt(Vacancy::ordinal)
                .thenComparing(vacancy -> -vacancy.footprint().memoryMb())
                .thenComparing(Vacancy::model));
        vacancies.forEach(this::fill);
    }

    private boolean isWanted(Assignment assignment) {
        return assignment.ordinal() < maxReplicas.getOrDefault(assignment.model(), 0);
    }

    private void reviewSurplus(AssignmentRow row) {
        Assignment assignment = row.assignment();
        if (canTakeFromHolder(assignment)) {
            changes.add(new RowChange(RowChange.Kind.DELETE, assignment, row.revision(), "no longer wanted"));
            return;
        }
        occupy(assignment);
        if (assignment.state() == AssignmentState.HELD) {
            release(row, "no longer wanted");
        }
    }

    private void reviewWanted(AssignmentRow row) {
        Assignment assignment = row.assignment();
        if (canTakeFromHolder(assignment)) {
            String reason = assignment.state() == AssignmentState.RELEASED ? "released" : "holder is gone";
            vacancies.add(new Vacancy(
                    assignment.model(), assignment.ordinal(), footprintOf(assignment.model()), row.revision(), reason));
            return;
        }
        occupy(assignment);
        if (assignment.state() != AssignmentState.HELD) {
            return;
        }
        InstanceLoad holder = loads.get(assignment.instance());
        if (holder == null) {
            return;
        }
        if (holder.instance().availability() == Availability.LEAVING) {
            release(row, "holder is leaving");
        } else if (!footprintOf(assignment.model()).fits(holder.instance())) {
            release(row, "does not fit its holder");
        }
    }

    private boolean canTakeFromHolder(Assignment assignment) {
        if (assignment.state() == AssignmentState.RELEASED) {
            return true;
        }
        InstanceLoad holder = loads.get(assignment.instance());
        return holder != null && holder.instance().availability() == Availability.GONE;
    }

    private void release(AssignmentRow row, String reason) {
        Assignment old = row.assignment();
        Assignment changed = new Assignment(
                old.model(), old.ordinal(), old.instance(), AssignmentState.RELEASING, configuration.version());
        changes.add(new RowChange(RowChange.Kind.RELEASE, changed, row.revision(), reason));
    }

    private void addMissing(ModelSpec model) {
        for (int ordinal = 0; ordinal < model.maxReplicas(); ordinal++) {
            if (!rowKeys.contains(Assignment.keyOf(model.name(), ordinal))) {
                vacancies.add(new Vacancy(model.name(), ordinal, footprintOf(model.name()), 0, "new replica"));
            }
        }
    }

    private void fill(Vacancy vacancy) {
        if (occupiedRows.getOrDefault(vacancy.model(), 0) >= maxReplicas.get(vacancy.model())) {
            // A surplus replica is still being unloaded; a later pass will fill the vacancy.
            return;
        }
        Optional<InstanceLoad> best = bestFor(vacancy);
        if (best.isEmpty()) {
            unplaced.add(new UnplacedReplica(vacancy.model(), vacancy.ordinal()));
            return;
        }
        Assignment assignment = new Assignment(
                vacancy.model(),
                vacancy.ordinal(),
                best.get().instance().id(),
                AssignmentState.HELD,
                configuration.version());
        occupy(assignment);
        RowChange.Kind kind = vacancy.revision() == 0 ? RowChange.Kind.INSERT : RowChange.Kind.MOVE;
        changes.add(new RowChange(kind, assignment, vacancy.revision(), vacancy.reason()));
    }

    /** Prefers a failure domain with fewer replicas of the model, then the lowest utilisation, then the lowest id. */
    private Optional<InstanceLoad> bestFor(Vacancy vacancy) {
        Map<FailureDomain, Integer> byDomain = replicasByDomain.getOrDefault(vacancy.model(), Map.of());
        return loads.values().stream()
                .filter(load -> load.canHold(vacancy.model(), vacancy.footprint()))
                .min(Comparator.<InstanceLoad>comparingInt(
                                load -> byDomain.getOrDefault(load.instance().failureDomain(), 0))
                        .thenComparingDouble(load -> load.utilisationWith(vacancy.footprint()))
                        .thenComparing(load -> load.instance().id()));
    }

    /** Counts a row whose replica is, or may become, loaded. */
    private void occupy(Assignment assignment) {
        occupiedRows.merge(assignment.model(), 1, Integer::sum);
        InstanceLoad load = loads.get(assignment.instance());
        if (load == null) {
            return;
        }
        load.add(assignment.model(), footprintOf(assignment.model()));
        replicasByDomain
                .computeIfAbsent(assignment.model(), name -> new HashMap<>())
                .merge(load.instance().failureDomain(), 1, Integer::sum);
    }

    private Footprint footprintOf(ModelName model) {
        return footprints.getOrDefault(model, Footprint.NONE);
    }
}
