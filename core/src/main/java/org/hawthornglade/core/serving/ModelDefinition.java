package org.hawthornglade.core.serving;

import org.hawthornglade.core.id.ModelName;

/**
 * A model that a service may be asked for.
 *
 * @param name the model
 * @param sizeMb accelerator memory of its weights
 * @param remoteLoadMs the time of a load from the weight store
 * @param memoryLoadMs the time of a load from the host's memory
 * @param diskLoadMs the time of a load from the host's disk
 * @param adapterMb accelerator memory of one adapter
 */
public record ModelDefinition(
        ModelName name, double sizeMb, long remoteLoadMs, long memoryLoadMs, long diskLoadMs, double adapterMb) {}
