package org.hawthornglade.core.result;

/** What a result code says about whether the request was run. */
public enum Execution {
    /** The request was not run and never will be. */
    NOT_RUN,
    /** The request was run to its end. */
    RUN,
    /** The request may have been run, in part or whole. */
    UNKNOWN
}
