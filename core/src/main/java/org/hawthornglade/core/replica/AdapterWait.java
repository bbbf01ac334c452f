package org.hawthornglade.core.replica;

/** Why an adapter that calls wait for is not loaded, or that it is, in one planning round. */
public enum AdapterWait {
    /** An engine has the adapter, or has accepted the order to load it. */
    LOADED,
    /** An order for it, or for the slot that it needs, is sent in this round. */
    ORDERED,
    /** No engine that can be used has its model ready. */
    NO_REPLICA,
    /** Each engine that has its model carries out an order, or its state is unknown. */
    ENGINES_BUSY,
    /** All adapter slots hold adapters that were used just now, or only refused calls ask for this one. */
    SLOTS_IN_USE
}
