package org.hawthornglade.core.routing;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;

/** Chooses the endpoint with the lowest load in its last report; requests sent since then are ignored. */
public final class LeastReportedLoadChooser implements EndpointChooser {
    @Override
    public Optional<EndpointView> choose(RouteQuery query, List<EndpointView> candidates, RandomGenerator random) {
        return candidates.stream()
                .filter(endpoint -> endpoint.reportedRunning() < endpoint.maxConcurrent())
                .min(Comparator.comparingInt(EndpointView::reportedRunning).thenComparing(EndpointView::instance));
    }
}
