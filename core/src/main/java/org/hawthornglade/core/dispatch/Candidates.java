package org.hawthornglade.core.dispatch;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;
import org.hawthornglade.core.fleet.Endpoint;

/** Narrows a list of endpoints step by step, as long as some are left. */
final class Candidates {
    private Candidates() {}

    /**
     * Prefers endpoints that this call has not failed at and that have answered lately; falls back to the others when
     * there are none.
     */
    static List<Endpoint> preferred(CallView call, List<Endpoint> endpoints, long nowMs) {
        List<Endpoint> untried = narrow(endpoints, endpoint -> !call.tried().contains(endpoint.id()));
        return narrow(untried, endpoint -> !endpoint.health().inBackoff(nowMs));
    }

    private static List<Endpoint> narrow(List<Endpoint> endpoints, Predicate<Endpoint> wish) {
        List<Endpoint> wished = new ArrayList<>();
        for (Endpoint endpoint : endpoints) {
            if (wish.test(endpoint)) {
                wished.add(endpoint);
            }
        }
        return wished.isEmpty() ? endpoints : wished;
    }
}
