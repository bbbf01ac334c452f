package org.hawthornglade.core.load;

import java.util.List;

/** Decides the order in which an instance loads the models and adapters that are requested. */
@FunctionalInterface
public interface LoadOrder {
    /**
     * Orders the candidates.
     *
     * @param candidates the models and adapters that are requested and not loaded
     * @param availableMb the accelerator memory that is free or can be freed, in MiB
     * @param nowMs the current time in milliseconds
     * @return the candidates that fit into the available memory together, in the order in which to load them
     */
    List<LoadCandidate> order(List<LoadCandidate> candidates, int availableMb, long nowMs);
}
