package org.hawthornglade.core.serving;

import org.hawthornglade.core.id.ModelName;

/**
 * A model that can be requested from a service.
 *
 * @param name the model
 * @param sizeMb the accelerator memory of its weights
 * @param remoteLoadMs the duration of a load from the weight store
 * @param memoryLoadMs the duration of a load from the host's memory
 * @param diskLoadMs the duration of a load from the host's disk
 * @param adapterMb the accelerator memory of one adapter
 */
public record ModelDefinition(
        ModelName name, double sizeMb, long remoteLoadMs, long memoryLoadMs, long diskLoadMs, double adapterMb) {}
