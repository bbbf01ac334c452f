package org.hawthornglade.core.engine;

/** How far an engine has a model. */
public enum LoadState {
    LOADING,
    READY,
    UNLOADING,
    /** Left behind by a load that was broken off; takes memory but answers nothing. */
    HALF_PRESENT
}
