package org.hawthornglade.core.engine;

/** The load state of a model on an engine. */
public enum LoadState {
    LOADING,
    READY,
    UNLOADING,
    /** Left over from an aborted load; occupies memory but serves no requests. */
    HALF_PRESENT
}
