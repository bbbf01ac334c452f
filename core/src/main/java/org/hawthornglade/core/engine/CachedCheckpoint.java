package org.hawthornglade.core.engine;

import org.hawthornglade.core.id.ModelName;

/**
 * A checkpoint that is cached locally at an engine.
 *
 * @param model the model or adapter
 * @param version its version
 * @param tier where it is cached
 */
public record CachedCheckpoint(ModelName model, String version, CheckpointTier tier) {}
