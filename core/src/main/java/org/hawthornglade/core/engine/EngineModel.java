package org.hawthornglade.core.engine;

import org.hawthornglade.core.id.ModelName;

/**
 * A model or adapter on an engine.
 *
 * @param model its name
 * @param version its version
 * @param base the base model if it is an adapter; else null
 * @param state its load state
 * @param memoryMb the accelerator memory that it occupies, in MiB
 * @param running the number of requests that it runs
 */
public record EngineModel(
        ModelName model, String version, ModelName base, LoadState state, int memoryMb, int running) {}
