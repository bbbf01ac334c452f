package org.hawthornglade.core.replica;

import java.util.HashSet;
import java.util.Set;
import org.hawthornglade.core.id.ModelName;
import org.hawthornglade.core.serving.ModelDefinition;

/** Tracks the models whose weights the host of an engine caches in memory or on disk. */
final class LocalWeights {
    private final Set<ModelName> inMemory = new HashSet<>();
    private final Set<ModelName> onDisk = new HashSet<>();
    private boolean reported;

    /**
     * Replaces the cached weights by those that the engine reports; a record without any says nothing about the cache.
     */
    void update(Set<ModelName> memory, Set<ModelName> disk) {
        if (memory.isEmpty() && disk.isEmpty()) {
            return;
        }
        clear();
        reported = true;
        inMemory.addAll(memory);
        onDisk.addAll(disk);
    }

    /** Records a load, which leaves the weights cached both in memory and on disk. */
    void onLoaded(ModelName model) {
        inMemory.add(model);
        onDisk.add(model);
    }

    void clear() {
        reported = false;
        inMemory.clear();
        onDisk.clear();
    }

    /** Returns whether the engine has reported cached weights since its start. */
    boolean reported() {
        return reported;
    }

    /** Returns the models whose weights are cached. */
    Set<ModelName> models() {
        Set<ModelName> models = new HashSet<>(inMemory);
        models.addAll(onDisk);
        return models;
    }

    boolean isEmpty() {
        return inMemory.isEmpty() && onDisk.isEmpty();
    }

    /** Returns whether the weights of a model are cached, so that no load from the weight store is needed. */
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
