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
     * @param query the properties of the request that matter for the choice
     * @param candidates the endpoints that are reachable, not draining, and have the model loaded
     * @param random the source of randomness
     * @return an endpoint that is expected to have a free slot; empty if there is none
     */
    Optional<EndpointView> choose(RouteQuery query, List<EndpointView> candidates, RandomGenerator random);
}
