package org.hawthornglade.core.engine;

import org.hawthornglade.core.id.ModelName;

/**
 * An order to an engine.
 *
 * @param kind the operation
 * @param model the model or adapter; null for {@link Kind#FENCE}
 * @param version its version; null unless the kind is {@link Kind#LOAD}
 * @param base the base model if an adapter is loaded; else null
 * @param memoryMb the accelerator memory to occupy, in MiB
 * @param fencingNumber the sender's number; an engine that checks it refuses one lower than the highest it has seen
 */
public record EngineOrder(
        Kind kind, ModelName model, String version, ModelName base, int memoryMb, long fencingNumber) {
    /** The operation of an order. */
    public enum Kind {
        LOAD,
        UNLOAD,
        /** Only raises the fencing number. */
        FENCE
    }
}
