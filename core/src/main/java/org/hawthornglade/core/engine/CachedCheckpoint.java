package org.hawthornglade.core.engine;

import org.hawthornglade.core.id.ModelName;

/**
 * A checkpoint that lies near an engine.
 *
 * @param model the model or adapter
 * @param version its version
 * @param tier where it lies
 */
public record CachedCheckpoint(ModelName model, String version, CheckpointTier tier) {}
