package org.hawthornglade.standin.engine;

import org.hawthornglade.core.id.ModelName;

/**
 * Something that an engine was ordered to do and never should have been.
 *
 * @param atMs when, in milliseconds since the Unix epoch
 * @param kind what it was
 * @param model the model of the order
 * @param detail more for a person
 */
public record Violation(long atMs, Kind kind, ModelName model, String detail) {
    /** The kinds that tests look for. */
    public enum Kind {
        /** The order would have taken more memory than there is; it was refused. */
        OVERCOMMIT,
        /** The order unloaded a model under running requests, which were cut. */
        CUT_REQUESTS,
        /** The order carried a fencing number below the highest one seen; refused only if the engine checks. */
        STALE_ORDER
    }
}
