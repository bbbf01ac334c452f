package org.hawthornglade.core.serving;

/** How often a call may run. */
public enum CallKind {
    /** Idempotent: may run more than once. */
    SAFE,
    /** May run at most once. */
    UNSAFE,
    /** Answered by an event stream; at most once unless the route says that it may be resumed. */
    STREAM
}
