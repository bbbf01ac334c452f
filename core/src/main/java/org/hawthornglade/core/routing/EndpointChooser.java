package org.hawthornglade.core.routing;

import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;

/** Chooses the endpoint that runs a request. */
@FunctionalInterface
public interface EndpointChooser {
    /**
     * Chooses one of the candidates.
     *
     * @param query what matters of the request
     * @param candidates the endpoints that are reachable, not draining and have the model loaded
     * @param random the source of randomness
     * @return one that is expected to have a free slot; empty if none is
     */
    Optional<EndpointView> choose(RouteQuery query, List<EndpointView> candidates, RandomGenerator random);
}
