package org.hawthornglade.core.engine;

/** The storage tier from which an engine would load a checkpoint, fastest first. */
public enum CheckpointTier {
    MEMORY,
    DISK,
    REMOTE
}
