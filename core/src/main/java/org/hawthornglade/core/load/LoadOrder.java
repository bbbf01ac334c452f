package org.hawthornglade.core.load;

import java.util.List;

/** The order in which an instance loads what is wanted of it. */
@FunctionalInterface
public interface LoadOrder {
    /**
     * Orders the candidates.
     *
     * @param candidates what is wanted and not loaded
     * @param availableMb accelerator memory that is free or can be freed, in MiB
     * @param nowMs the time now in milliseconds
     * @return those that fit one after the other, the one to load first in front
     */
    List<LoadCandidate> order(List<LoadCandidate> candidates, int availableMb, long nowMs);
}
