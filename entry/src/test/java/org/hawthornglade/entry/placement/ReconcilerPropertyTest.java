package org.hawthornglade.entry.placement;

import static com.google.common.truth.Truth.assertThat;

import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.hawthornglade.core.assignment.Assignment;
import org.hawthornglade.core.assignment.AssignmentState;
import org.hawthornglade.core.id.InstanceId;
import org.hawthornglade.core.placement.AssignmentRow;
import org.hawthornglade.core.placement.Availability;

/**
 * Checks the replica limit while two entries reconcile, operators confirm configurations, instances come and go, and
 * holders load by possibly outdated rows.
 */
final class ReconcilerPropertyTest {
    private static final int STEPS = 60;

    @Property(tries = 100, seed = "20260107")
    void neverExceedsTheConfiguredReplicas(@ForAll Random random) {
        new Run().run(random);
    }

    /** One random sequence of steps, starting from an empty cluster. */
    private static final class Run {

        private final Cluster cluster = new Cluster();
        private final Set<InstanceId> loaded = new HashSet<>();
        private final Set<InstanceId> gone = new HashSet<>();
        private List<AssignmentRow> lastRead = List.of();
        private int cap = 1;
        private long before;
        private int next;

        void run(Random random) {
            cluster.confirm(cap);
            for (int step = 0; step < STEPS; step++) {
                before = rowsThatAllowLoading();
                step(random);
                check();
            }
        }

        private void step(Random random) {
            cluster.clock.advance(100);
            switch (random.nextInt(8)) {
                case 0 -> {
                    cap = random.nextInt(5);
                    cluster.confirm(cap);
                }
                case 1 -> cluster.addInstance("i" + next++, Availability.AVAILABLE);
                case 2 -> changeInstance(random);
                case 3 -> lastRead = cluster.rows();
                case 4 -> lastRead.forEach(row -> load(row.assignment(), random));
                case 5 -> cluster.rows().forEach(row -> release(row, random));
                case 6 -> cluster.first.run();
                default -> cluster.second.run();
            }
        }

        private void changeInstance(Random random) {
            if (next == 0) {
                return;
            }
            String id = "i" + random.nextInt(next);
            if (gone.contains(InstanceId.of(id))) {
                return;
            }
            List<Availability> all = List.of(Availability.values());
            Availability availability = all.get(random.nextInt(all.size()));
            cluster.addInstance(id, availability);
            if (availability == Availability.GONE) {
                gone.add(InstanceId.of(id));
                loaded.remove(InstanceId.of(id));
            }
        }

        /** A holder loads by the rows that it last read, possibly long ago, unless it has released its row. */
        private void load(Assignment assignment, Random random) {
            boolean mayLoad = assignment.state() == AssignmentState.HELD
                    && !gone.contains(assignment.instance())
                    && cluster.rows().stream()
                            .noneMatch(row -> row.assignment().instance().equals(assignment.instance())
                                    && row.assignment().state() == AssignmentState.RELEASED);
            if (mayLoad && holdsRow(assignment.instance()) && random.nextBoolean()) {
                loaded.add(assignment.instance());
            }
        }

        /** Returns whether the instance has an unreleased row; a holder knows which rows it has released. */
        private boolean holdsRow(InstanceId instance) {
            return cluster.rows().stream()
                    .anyMatch(row -> row.assignment().instance().equals(instance)
                            && row.assignment().state() != AssignmentState.RELEASED);
        }

        private void release(AssignmentRow row, Random random) {
            if (row.assignment().state() == AssignmentState.RELEASING && random.nextBoolean()) {
                loaded.remove(row.assignment().instance());
                assertThat(cluster.assignments.release(row).get()).isTrue();
            }
        }

        private long rowsThatAllowLoading() {
            return cluster.rows().stream()
                    .filter(row -> row.assignment().state() != AssignmentState.RELEASED)
                    .count();
        }

        private void check() {
            long rows = rowsThatAllowLoading();
            assertThat(rows).isAtMost(Math.max(cap, before));
            assertThat((long) loaded.size()).isAtMost(rows);
            for (InstanceId instance : loaded) {
                assertThat(holdsRow(instance)).isTrue();
            }
        }
    }
}
