package org.hawthornglade.gateway.port;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.util.Map;
import java.util.Set;
import org.hawthornglade.core.id.RequestId;
import org.hawthornglade.core.resumption.StreamOrigin;

/**
 * Notes of where streams began, to be written and removed together.
 *
 * @param added the notes to write
 * @param removed the notes to remove
 */
public record OriginBatch(Map<RequestId, Note> added, Set<RequestId> removed) {
    /** Maximum number of notes in a batch, written and removed ones. */
    public static final int MAX_NOTES = 100;

    /** Copies the collections. */
    public OriginBatch {
        added = ImmutableMap.copyOf(added);
        removed = ImmutableSet.copyOf(removed);
    }

    /**
     * A note.
     *
     * @param origin where the stream began
     * @param untilMs when the note may be removed, on the store's clock
     */
    public record Note(StreamOrigin origin, long untilMs) {}
}
