package org.hawthornglade.app.load;

import java.util.HashSet;
import java.util.Set;

/**
 * Outcomes reported to callers for calls that must not run twice.
 *
 * @param answered the idempotency keys of calls with a complete response
 * @param notRun the idempotency keys of calls that were reported as not run
 */
record KeyOutcomes(Set<String> answered, Set<String> notRun) {
    KeyOutcomes plus(KeyOutcomes other) {
        Set<String> allAnswered = new HashSet<>(answered);
        allAnswered.addAll(other.answered);
        Set<String> allNotRun = new HashSet<>(notRun);
        allNotRun.addAll(other.notRun);
        return new KeyOutcomes(allAnswered, allNotRun);
    }
}
