package org.hawthornglade.core.agent;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.hawthornglade.core.assignment.AssignmentState;
import org.hawthornglade.core.id.ModelName;
import org.hawthornglade.core.placement.AssignmentRow;

/**
 * Tracks the assignment rows of one instance as last read, except those whose release has begun.
 *
 * <p>Once a release was requested, the row may be assigned to another instance at any moment, even if the answer
 * reports a failure. The row counts as held again only when it is read with a later revision.
 */
final class AssignmentTracker {
    private static final long RELEASE_RETRY_MS = 500;

    private final Map<ModelName, AssignmentRow> rows = new TreeMap<>();
    private final Map<String, Long> releasedRevisions = new HashMap<>();
    private final Set<String> releasesInFlight = new HashSet<>();
    private long releaseRetryAtMs;
    private long readSequence;

    /** Returns whether the rows have been read at least once. */
    boolean hasRead() {
        return readSequence > 0;
    }

    void onRead(long sequence, List<AssignmentRow> read) {
        if (sequence <= readSequence) {
            return;
        }
        readSequence = sequence;
        rows.clear();
        for (AssignmentRow row : read) {
            AssignmentRow earlier = rows.get(row.assignment().model());
            if (earlier == null || !isHeld(earlier)) {
                rows.put(row.assignment().model(), row);
            }
        }
    }

    /** Returns the held row that allows a model to be loaded, or null if there is none. */
    AssignmentRow held(ModelName model) {
        AssignmentRow row = rows.get(model);
        return row != null && isHeld(row) ? row : null;
    }

    /** Returns the held rows, which allow their models to be loaded, ordered by model. */
    Collection<AssignmentRow> held() {
        return rows.values().stream().filter(this::isHeld).toList();
    }

    /** Returns the rows that the table service does not show as released. */
    List<AssignmentRow> unreleased() {
        List<AssignmentRow> unreleased = new ArrayList<>(rows.values());
        unreleased.removeIf(row -> row.assignment().state() == AssignmentState.RELEASED);
        return unreleased;
    }

    /** Records the start of a release; returns false if one is in progress or it is too early for a retry. */
    boolean beginRelease(AssignmentRow row, long nowMs) {
        String key = row.assignment().key();
        if (releasesInFlight.contains(key) || nowMs < releaseRetryAtMs) {
            return false;
        }
        releasesInFlight.add(key);
        releasedRevisions.put(key, row.revision());
        return true;
    }

    void onReleased(AssignmentRow row) {
        releasesInFlight.remove(row.assignment().key());
        AssignmentRow known = rows.get(row.assignment().model());
        if (known != null && known.revision() <= row.revision()) {
            rows.remove(row.assignment().model());
        }
    }

    void onReleaseFailed(AssignmentRow row, long nowMs) {
        releasesInFlight.remove(row.assignment().key());
        releaseRetryAtMs = nowMs + RELEASE_RETRY_MS;
    }

    private boolean isHeld(AssignmentRow row) {
        return row.assignment().state() == AssignmentState.HELD
                && row.revision()
                        > releasedRevisions.getOrDefault(row.assignment().key(), 0L);
    }
}
