package org.hawthornglade.core.serving;

/** The execution guarantee of a call: how often it may run. */
public enum CallKind {
    /** Idempotent: may run more than once. */
    SAFE,
    /** May run at most once. */
    UNSAFE,
    /** Answered with an event stream; may run at most once unless the route allows streams to be resumed. */
    STREAM
}
