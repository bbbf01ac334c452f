package org.hawthornglade.standin.engine;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.hawthornglade.core.engine.CachedCheckpoint;
import org.hawthornglade.core.engine.CheckpointTier;
import org.hawthornglade.core.id.ModelName;

/** Tracks which checkpoints are available locally to one engine, and on which tier. */
final class CheckpointCache {
    private record Key(ModelName model, String version) {}

    private final Map<Key, CheckpointTier> tiers =
            new TreeMap<>(Comparator.comparing(Key::model).thenComparing(Key::version));

    CheckpointCache(List<CachedCheckpoint> initial) {
        initial.forEach(checkpoint -> record(checkpoint.model(), checkpoint.version(), checkpoint.tier()));
    }

    CheckpointTier tier(ModelName model, String version) {
        return tiers.getOrDefault(new Key(model, version), CheckpointTier.REMOTE);
    }

    /** Records the tier of a checkpoint; a faster tier is never replaced by a slower one. */
    void record(ModelName model, String version, CheckpointTier tier) {
        tiers.merge(new Key(model, version), tier, (known, added) -> known.compareTo(added) <= 0 ? known : added);
    }

    List<CachedCheckpoint> list() {
        return tiers.entrySet().stream()
                .map(entry -> new CachedCheckpoint(
                        entry.getKey().model(), entry.getKey().version(), entry.getValue()))
                .toList();
    }
}
