package org.hawthornglade.core.agent;

/** What an agent knows of an attempt that an entry cancels. */
public enum CancelResult {
    /** The attempt never started and never will. */
    NEVER_STARTED,
    /** The attempt was running and is being stopped. */
    STOPPED,
    /** The attempt had already ended. */
    ENDED
}
