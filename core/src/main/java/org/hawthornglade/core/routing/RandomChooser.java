package org.hawthornglade.core.routing;

import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;

/** Chooses a random endpoint among those that are expected to have a free slot. */
public final class RandomChooser implements EndpointChooser {
    @Override
    public Optional<EndpointView> choose(RouteQuery query, List<EndpointView> candidates, RandomGenerator random) {
        List<EndpointView> free =
                candidates.stream().filter(EndpointView::hasFreeSlot).toList();
        if (free.isEmpty()) {
            return Optional.empty();
        }
        return Optional.of(free.get(random.nextInt(free.size())));
    }
}
