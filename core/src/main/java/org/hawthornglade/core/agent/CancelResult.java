package org.hawthornglade.core.agent;

/** What an agent can say of an attempt that is given up. */
public enum CancelResult {
    /** It never started and never will. */
    NEVER_STARTED,
    /** It had started and is being stopped. */
    STOPPED,
    /** It had ended before. */
    ENDED
}
