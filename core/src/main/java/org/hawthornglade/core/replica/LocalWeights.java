package org.hawthornglade.core.replica;

import java.util.HashSet;
import java.util.Set;
import org.hawthornglade.core.id.ModelName;
import org.hawthornglade.core.serving.ModelDefinition;

/** The models whose weights an engine's host keeps in memory or on disk. */
final class LocalWeights {
    private final Set<ModelName> inMemory = new HashSet<>();
    private final Set<ModelName> onDisk = new HashSet<>();

    /** Takes what the engine says; a record that names no copy at all says nothing of them. */
    void update(Set<ModelName> memory, Set<ModelName> disk) {
        if (memory.isEmpty() && disk.isEmpty()) {
            return;
        }
        clear();
        inMemory.addAll(memory);
        onDisk.addAll(disk);
    }

    /** Takes note of a load, which leaves copies in both places. */
    void onLoaded(ModelName model) {
        inMemory.add(model);
        onDisk.add(model);
    }

    void clear() {
        inMemory.clear();
        onDisk.clear();
    }

    boolean isEmpty() {
        return inMemory.isEmpty() && onDisk.isEmpty();
    }

    /** Returns whether no load from the weight store is needed. */
    boolean has(ModelName model) {
        return inMemory.contains(model) || onDisk.contains(model);
    }

    long loadMs(ModelDefinition model) {
        if (inMemory.contains(model.name())) {
            return model.memoryLoadMs();
        }
        return onDisk.contains(model.name()) ? model.diskLoadMs() : model.remoteLoadMs();
    }
}
