package org.hawthornglade.core.load;

import java.util.List;

/** Chooses the idle models that are unloaded to make room. */
@FunctionalInterface
public interface EvictionPolicy {
    /**
     * Chooses the models to unload.
     *
     * @param idle the models and adapters that may be unloaded
     * @param neededMb how much accelerator memory must be freed, in MiB
     * @param nowMs the current time in milliseconds
     * @return the candidates to unload, which free at least {@code neededMb} together; empty if all candidates together
     *     do not
     */
    List<EvictionCandidate> choose(List<EvictionCandidate> idle, int neededMb, long nowMs);
}
