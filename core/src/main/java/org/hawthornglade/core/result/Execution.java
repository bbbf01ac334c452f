package org.hawthornglade.core.result;

/** Whether a request was run, as implied by its result code. */
public enum Execution {
    /** The request was not run and will not be run. */
    NOT_RUN,
    /** The request was run to completion. */
    RUN,
    /** The request may have been run, partly or completely. */
    UNKNOWN
}
