package org.hawthornglade.app.load;

import java.util.HashSet;
import java.util.Set;

/**
 * What callers were told of calls that may not be repeated.
 *
 * @param answered the idempotency keys of calls that were answered
 * @param notRun the keys of calls that were said not to have run
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
