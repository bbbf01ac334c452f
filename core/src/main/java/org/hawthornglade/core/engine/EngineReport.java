package org.hawthornglade.core.engine;

import java.util.List;

/**
 * What an engine says of itself; it may lag.
 *
 * @param takenAtMs when the report was taken, in milliseconds since the Unix epoch by the engine's clock
 * @param orderSequence how many orders the engine had taken in when the report was taken
 * @param bootId tells the engine's runs apart
 * @param fencingNumber the highest fencing number seen; 0 if the engine ignores them
 * @param memoryMb its accelerator memory in MiB
 * @param models what it holds
 * @param cached which checkpoints lie near
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
