package org.hawthornglade.standin.engine;

import org.hawthornglade.core.id.ModelName;

/**
 * An order that an engine should never have received.
 *
 * @param atMs the time of the order, in milliseconds since the Unix epoch
 * @param kind the kind of violation
 * @param model the model of the order
 * @param detail a human-readable description
 */
public record Violation(long atMs, Kind kind, ModelName model, String detail) {
    /** The kinds of violation that tests check for. */
    public enum Kind {
        /** The order would have exceeded the memory; it was refused. */
        OVERCOMMIT,
        /** The order unloaded a model with running requests, which were aborted. */
        CUT_REQUESTS,
        /** The order carried a fencing number below the highest one seen; refused only if the engine checks fencing. */
        STALE_ORDER
    }
}
