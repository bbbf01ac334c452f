package org.hawthornglade.core.agent;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.hawthornglade.core.assignment.Assignment;
import org.hawthornglade.core.assignment.AssignmentState;
import org.hawthornglade.core.id.InstanceId;
import org.hawthornglade.core.id.ModelName;
import org.hawthornglade.core.placement.AssignmentRow;
import org.hawthornglade.core.placement.RowChange;

/** An in-memory table service with assignment rows and fencing numbers. */
final class FakeTable {
    private final Map<String, AssignmentRow> rows = new TreeMap<>();
    private final Map<InstanceId, Long> fences = new TreeMap<>();
    private long revision;

    List<AssignmentRow> all() {
        return List.copyOf(rows.values());
    }

    List<AssignmentRow> of(InstanceId instance) {
        return rows.values().stream()
                .filter(row -> row.assignment().instance().equals(instance))
                .toList();
    }

    /** Returns whether an instance may have a model loaded. */
    boolean allows(InstanceId instance, ModelName model) {
        return of(instance).stream()
                .map(AssignmentRow::assignment)
                .anyMatch(row -> row.model().equals(model) && row.state() != AssignmentState.RELEASED);
    }

    long count(ModelName model) {
        return rows.values().stream()
                .filter(row -> row.assignment().model().equals(model))
                .count();
    }

    /** Releases a row if it is unchanged and the process has the newest fencing number. */
    boolean release(AssignmentRow row, long fencingNumber) {
        boolean unchanged = revisionOf(row.assignment().key()) == row.revision();
        if (!unchanged || fence(row.assignment().instance()) != fencingNumber) {
            return false;
        }
        put(row.assignment().withState(AssignmentState.RELEASED));
        return true;
    }

    void apply(Collection<RowChange> changes) {
        for (RowChange change : changes) {
            if (revisionOf(change.assignment().key()) != change.revision()) {
                continue;
            }
            if (change.kind() == RowChange.Kind.DELETE) {
                rows.remove(change.assignment().key());
            } else {
                put(change.assignment());
            }
        }
    }

    private void put(Assignment assignment) {
        rows.put(assignment.key(), new AssignmentRow(assignment, ++revision));
    }

    private long revisionOf(String key) {
        AssignmentRow row = rows.get(key);
        return row == null ? 0 : row.revision();
    }

    long fence(InstanceId instance) {
        return fences.getOrDefault(instance, 0L);
    }

    long takeFence(InstanceId instance) {
        return fences.merge(instance, 1L, Long::sum);
    }
}
