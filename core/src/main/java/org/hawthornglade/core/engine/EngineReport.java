package org.hawthornglade.core.engine;

import java.util.List;

/**
 * A status report of an engine, which may lag behind its actual state.
 *
 * @param takenAtMs when the report was created, in milliseconds since the Unix epoch by the engine's clock
 * @param orderSequence the number of orders that the engine had accepted when the report was created
 * @param bootId identifies the run of the engine
 * @param fencingNumber the highest fencing number seen; 0 if the engine ignores fencing numbers
 * @param memoryMb its accelerator memory in MiB
 * @param models the models and adapters on it
 * @param cached the checkpoints cached locally
 */
public record EngineReport(
        long takenAtMs,
        long orderSequence,
        long bootId,
        long fencingNumber,
        int memoryMb,
        List<EngineModel> models,
        List<CachedCheckpoint> cached) {
    /** Copies the lists. */
    public EngineReport {
        models = models == null ? List.of() : List.copyOf(models);
        cached = cached == null ? List.of() : List.copyOf(cached);
    }
}
