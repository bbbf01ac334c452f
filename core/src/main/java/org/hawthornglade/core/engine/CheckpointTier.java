package org.hawthornglade.core.engine;

/** Where an engine would take a checkpoint from, nearest first. */
public enum CheckpointTier {
    MEMORY,
    DISK,
    REMOTE
}
