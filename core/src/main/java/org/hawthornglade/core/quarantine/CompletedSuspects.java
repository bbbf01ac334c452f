package org.hawthornglade.core.quarantine;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Remembers when an answer was last completed on a part of a prompt or a request; those not used for longest are
 * dropped, of each sort by itself.
 */
final class CompletedSuspects {
    static final int MAX_OF_A_SORT = 4_096;

    private final Map<Suspect, Long> parts = lastUsedMap();
    private final Map<Suspect, Long> requests = lastUsedMap();

    private static Map<Suspect, Long> lastUsedMap() {
        return new LinkedHashMap<>(16, 0.75f, true) {
            @Override
            protected boolean removeEldestEntry(Map.Entry<Suspect, Long> eldest) {
                return size() > MAX_OF_A_SORT;
            }
        };
    }

    private Map<Suspect, Long> sortOf(Suspect suspect) {
        return suspect.isRequest() ? requests : parts;
    }

    void onCompleted(Suspect suspect, long atMs) {
        sortOf(suspect).merge(suspect, atMs, Math::max);
    }

    Optional<Long> lastCompletedMs(Suspect suspect) {
        return Optional.ofNullable(sortOf(suspect).get(suspect));
    }
}
