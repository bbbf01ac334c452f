package org.hawthornglade.core.replica;

/** The action of an order to an engine on a model or an adapter. */
public enum OrderAction {
    LOAD,
    UNLOAD
}
