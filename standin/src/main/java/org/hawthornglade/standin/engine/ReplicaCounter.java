package org.hawthornglade.standin.engine;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import org.hawthornglade.core.id.ModelName;

/** Counts over all engines of a process how many hold a model, half-present ones included. */
public final class ReplicaCounter {
    /**
     * How many engines hold a model.
     *
     * @param held now
     * @param maxHeld the most at any moment
     */
    public record Count(int held, int maxHeld) {}

    private final Map<ModelName, Count> counts = new HashMap<>();

    /** Notes that one more engine holds a model, or one fewer. */
    synchronized void change(ModelName model, int by) {
        Count before = counts.getOrDefault(model, new Count(0, 0));
        int held = before.held() + by;
        counts.put(model, new Count(held, Math.max(before.maxHeld(), held)));
    }

    /** Returns the counts of every model that was ever held. */
    public synchronized Map<ModelName, Count> counts() {
        return new TreeMap<>(counts);
    }

    /** Returns the most engines that ever held a model at once. */
    public synchronized int maxReplicas(ModelName model) {
        return counts.getOrDefault(model, new Count(0, 0)).maxHeld();
    }
}
