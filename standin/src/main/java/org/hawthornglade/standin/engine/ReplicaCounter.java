package org.hawthornglade.standin.engine;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import org.hawthornglade.core.id.ModelName;

/** Counts the replicas of each model over all engines of a process, including half-present ones. */
public final class ReplicaCounter {
    /**
     * The number of engines that hold a model.
     *
     * @param held the current number
     * @param maxHeld the highest number at any moment
     */
    public record Count(int held, int maxHeld) {}

    private final Map<ModelName, Count> counts = new HashMap<>();

    /** Changes the number of engines that hold a model by 1 or -1. */
    synchronized void change(ModelName model, int by) {
        Count before = counts.getOrDefault(model, new Count(0, 0));
        int held = before.held() + by;
        counts.put(model, new Count(held, Math.max(before.maxHeld(), held)));
    }

    /** Returns the counts of every model that any engine has held. */
    public synchronized Map<ModelName, Count> counts() {
        return new TreeMap<>(counts);
    }

    /** Returns the highest number of engines that held a model at the same time. */
    public synchronized int maxReplicas(ModelName model) {
        return counts.getOrDefault(model, new Count(0, 0)).maxHeld();
    }
}
