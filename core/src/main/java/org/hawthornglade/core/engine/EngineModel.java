package org.hawthornglade.core.engine;

import org.hawthornglade.core.id.ModelName;

/**
 * One model or adapter that an engine holds.
 *
 * @param model its name
 * @param version its version
 * @param base the base model if it is an adapter; else null
 * @param state how far it is there
 * @param memoryMb the accelerator memory it takes, in MiB
 * @param running how many requests it runs
 */
public record EngineModel(
        ModelName model, String version, ModelName base, LoadState state, int memoryMb, int running) {}
