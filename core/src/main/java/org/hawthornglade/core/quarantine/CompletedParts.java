package org.hawthornglade.core.quarantine;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.hawthornglade.core.id.PromptPartId;

/** Remembers when an answer was last completed on a part of a prompt; the parts not used for longest are dropped. */
final class CompletedParts {
    static final int MAX_PARTS = 4_096;

    private final Map<PromptPartId, Long> lastMs = new LinkedHashMap<>(16, 0.75f, true) {
        @Override
        protected boolean removeEldestEntry(Map.Entry<PromptPartId, Long> eldest) {
            return size() > MAX_PARTS;
        }
    };

    void onCompleted(PromptPartId part, long atMs) {
        lastMs.merge(part, atMs, Math::max);
    }

    Optional<Long> lastCompletedMs(PromptPartId part) {
        return Optional.ofNullable(lastMs.get(part));
    }
}
