package org.hawthornglade.core.replica;

/** What an engine is ordered to do with a model or adapter. */
public enum OrderAction {
    LOAD,
    UNLOAD
}
