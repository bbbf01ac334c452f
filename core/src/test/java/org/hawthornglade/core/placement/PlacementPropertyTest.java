package org.hawthornglade.core.placement;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.hawthornglade.core.assignment.Assignment;
import org.hawthornglade.core.assignment.AssignmentState;
import org.hawthornglade.core.config.Configuration;
import org.hawthornglade.core.config.Configurations;
import org.hawthornglade.core.config.ModelSpec;
import org.hawthornglade.core.id.FailureDomain;
import org.hawthornglade.core.id.InstanceId;
import org.hawthornglade.core.id.ModelName;

/** Checks the rules of {@link Placement} over random sequences of configurations and of instances that come and go. */
final class PlacementPropertyTest {
    private static final int STEPS = 40;

    @Property(tries = 300, seed = "20260104")
    void keepsThePlacementRules(@ForAll Random random) {
        new Run().run(random);
    }

    /** One random sequence that starts with no rows and no instances. */
    private static final class Run {

        private final Map<String, AssignmentRow> rows = new TreeMap<>();
        private final Map<InstanceId, PlacementInstance> instances = new TreeMap<>();
        private final Map<ModelName, Integer> highestMax = new HashMap<>();
        private Configuration configuration = Configurations.withModels(1, List.of());
        private int nextInstance;

        void run(Random random) {
            for (int step = 0; step < STEPS; step++) {
                change(random);
                PlacementResult result = decideTwice(random);
                checkChanges(result);
                Map<ModelName, Integer> before = occupiedRows();
                result.changes().forEach(this::write);
                checkRows();
                checkOccupiedRows(before);
                checkPlaced(result);
            }
        }

        private void change(Random random) {
            switch (random.nextInt(6)) {
                case 0 -> configure(random);
                case 1 -> addInstance(random);
                case 2 -> setAvailability(random);
                case 3 -> unlist(random);
                default -> releaseRows(random);
            }
        }

        private void configure(Random random) {
            List<ModelSpec> models = new ArrayList<>();
            for (int i = 0; i < 4; i++) {
                if (random.nextInt(4) > 0) {
                    models.add(Configurations.model("m" + i, 100 * (1 + random.nextInt(8)), random.nextInt(4)));
                }
            }
            configuration = Configurations.withModels(configuration.version() + 1, models);
        }

        private void addInstance(Random random) {
            InstanceId id = InstanceId.of("i" + nextInstance++);
            instances.put(
                    id,
                    new PlacementInstance(
                            id,
                            FailureDomain.of("d" + random.nextInt(3)),
                            100 * (1 + random.nextInt(10)),
                            1 + random.nextInt(2),
                            Availability.AVAILABLE));
        }

        private void setAvailability(Random random) {
            List<Availability> all = List.of(Availability.values());
            Availability next = all.get(random.nextInt(all.size()));
            instances.replaceAll((id, old) -> old.availability() == Availability.GONE || random.nextInt(3) > 0
                    ? old
                    : new PlacementInstance(id, old.failureDomain(), old.memoryMb(), old.accelerators(), next));
        }

        private void unlist(Random random) {
            instances.keySet().removeIf(id -> random.nextInt(6) == 0);
        }

        private void releaseRows(Random random) {
            rows.replaceAll((key, row) -> {
                boolean released = row.assignment().state() == AssignmentState.RELEASING && random.nextBoolean();
                return released
                        ? new AssignmentRow(row.assignment().withState(AssignmentState.RELEASED), row.revision() + 1)
                        : row;
            });
        }

        private PlacementResult decideTwice(Random random) {
            List<PlacementInstance> listed = new ArrayList<>(instances.values());
            List<AssignmentRow> read = new ArrayList<>(rows.values());
            PlacementResult first = Placement.decide(configuration, listed, read);
            Collections.shuffle(listed, random);
            Collections.shuffle(read, random);
            assertThat(Placement.decide(configuration, listed, read)).isEqualTo(first);
            return first;
        }

        private void checkChanges(PlacementResult result) {
            Set<String> changed = new HashSet<>();
            for (RowChange change : result.changes()) {
                assertThat(changed.add(change.assignment().key())).isTrue();
                AssignmentRow old = rows.get(change.assignment().key());
                assertThat(change.revision()).isEqualTo(old == null ? 0 : old.revision());
                if (change.kind() == RowChange.Kind.MOVE || change.kind() == RowChange.Kind.DELETE) {
                    PlacementInstance holder = instances.get(old.assignment().instance());
                    boolean gone = holder != null && holder.availability() == Availability.GONE;
                    assertWithMessage("taken from %s", old)
                            .that(gone || old.assignment().state() == AssignmentState.RELEASED)
                            .isTrue();
                }
            }
        }

        private void write(RowChange change) {
            String key = change.assignment().key();
            if (change.kind() == RowChange.Kind.DELETE) {
                rows.remove(key);
            } else {
                rows.put(key, new AssignmentRow(change.assignment(), change.revision() + 1));
            }
        }

        private void checkRows() {
            configuration.models().forEach(model -> highestMax.merge(model.name(), model.maxReplicas(), Math::max));
            Map<ModelName, Integer> held = new HashMap<>();
            Set<String> occupiedPlaces = new HashSet<>();
            for (AssignmentRow row : rows.values()) {
                Assignment assignment = row.assignment();
                assertThat(assignment.ordinal()).isLessThan(highestMax.getOrDefault(assignment.model(), 0));
                if (assignment.state() == AssignmentState.HELD) {
                    held.merge(assignment.model(), 1, Integer::sum);
                }
                if (assignment.state() != AssignmentState.RELEASED) {
                    assertThat(occupiedPlaces.add(assignment.model() + "@" + assignment.instance()))
                            .isTrue();
                }
            }
            held.forEach((model, count) -> assertThat(count)
                    .isAtMost(configuration
                            .model(model)
                            .map(ModelSpec::maxReplicas)
                            .orElse(0)));
        }

        /** Counts by model the rows whose replica may be loaded. */
        private Map<ModelName, Integer> occupiedRows() {
            Map<ModelName, Integer> occupied = new HashMap<>();
            for (AssignmentRow row : rows.values()) {
                PlacementInstance holder = instances.get(row.assignment().instance());
                boolean gone = holder != null && holder.availability() == Availability.GONE;
                if (!gone && row.assignment().state() != AssignmentState.RELEASED) {
                    occupied.merge(row.assignment().model(), 1, Integer::sum);
                }
            }
            return occupied;
        }

        private void checkOccupiedRows(Map<ModelName, Integer> before) {
            occupiedRows().forEach((model, count) -> {
                int max = configuration.model(model).map(ModelSpec::maxReplicas).orElse(0);
                assertWithMessage("rows of %s, at most %s", model, max)
                        .that(count)
                        .isAtMost(Math.max(max, before.getOrDefault(model, 0)));
            });
        }

        private void checkPlaced(PlacementResult result) {
            Map<ModelName, Integer> occupied = occupiedRows();
            Set<String> unplaced = result.unplaced().stream()
                    .map(missing -> Assignment.keyOf(missing.model(), missing.ordinal()))
                    .collect(Collectors.toSet());
            for (ModelSpec spec : configuration.models()) {
                for (int ordinal = 0; ordinal < spec.maxReplicas(); ordinal++) {
                    String key = Assignment.keyOf(spec.name(), ordinal);
                    boolean blocked = occupied.getOrDefault(spec.name(), 0) >= spec.maxReplicas();
                    assertThat(rows.containsKey(key) || unplaced.contains(key) || blocked)
                            .isTrue();
                }
            }
            Set<String> occupiedPlaces = rows.values().stream()
                    .map(row ->
                            row.assignment().model() + "@" + row.assignment().instance())
                    .collect(Collectors.toSet());
            for (UnplacedReplica missing : result.unplaced()) {
                ModelSpec spec = configuration.model(missing.model()).orElseThrow();
                assertThat(instances.values().stream()
                                .filter(instance -> instance.availability() == Availability.AVAILABLE)
                                .filter(instance -> instance.memoryMb() >= spec.reservedMb())
                                .filter(instance -> instance.accelerators() >= spec.accelerators())
                                .filter(instance -> !occupiedPlaces.contains(missing.model() + "@" + instance.id())))
                        .isEmpty();
            }
        }
    }
}
