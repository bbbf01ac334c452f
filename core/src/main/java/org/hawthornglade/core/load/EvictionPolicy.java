package org.hawthornglade.core.load;

import java.util.List;

/** Which idle models are unloaded to make room. */
@FunctionalInterface
public interface EvictionPolicy {
    /**
     * Chooses what to unload.
     *
     * @param idle what may be unloaded
     * @param neededMb how much accelerator memory must come free, in MiB
     * @param nowMs the time now in milliseconds
     * @return the ones to unload, enough to free at least {@code neededMb}; empty if all of them together are too few
     */
    List<EvictionCandidate> choose(List<EvictionCandidate> idle, int neededMb, long nowMs);
}
