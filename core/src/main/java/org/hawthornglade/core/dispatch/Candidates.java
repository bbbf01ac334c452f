package org.hawthornglade.core.dispatch;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;
import org.hawthornglade.core.fleet.Endpoint;

/** Narrows a list of endpoints by preferences, none of which may leave the list empty. */
final class Candidates {
    private Candidates() {}

    /**
     * Returns the endpoints that this call has not been tried at and that are not in backoff; each condition is dropped
     * if no endpoint meets it.
     */
    static List<Endpoint> preferred(CallView call, List<Endpoint> endpoints, long nowMs) {
        List<Endpoint> untried = narrow(endpoints, endpoint -> !call.tried().contains(endpoint.id()));
        return narrow(untried, endpoint -> !endpoint.health().inBackoff(nowMs));
    }

    private static List<Endpoint> narrow(List<Endpoint> endpoints, Predicate<Endpoint> condition) {
        List<Endpoint> matching = new ArrayList<>();
        for (Endpoint endpoint : endpoints) {
            if (condition.test(endpoint)) {
                matching.add(endpoint);
            }
        }
        return matching.isEmpty() ? endpoints : matching;
    }
}
