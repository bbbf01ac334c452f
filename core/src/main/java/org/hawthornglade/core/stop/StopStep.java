package org.hawthornglade.core.stop;

/** A step of a planned stop, in the order in which they come. */
public enum StopStep {
    /** Fail readiness checks, and release the roles that other entries can take over. */
    LEAVE_ROTATION,
    /** Refuse waiting and new calls, and close idle connections. */
    REFUSE,
    /** End what is still open with an error, because the process ends before it does. */
    FAIL,
    /** Stop listening. */
    CLOSE,
    /** Stop reading, so that nothing is begun any more; the process ends after this step. */
    END
}
