package org.hawthornglade.core.chart;

/** The states of one attempt at a request. */
public enum AttemptState {
    /** Waits at the entry; nothing was sent. */
    QUEUED,
    /** Its claim row is being written; nothing was sent. */
    CLAIMING,
    /** Bytes may have reached the agent; no answer yet. */
    SENT,
    /** Parts of the answer have come. */
    STREAMING,
    /** Given up; the agent was asked whether it ever started. */
    CANCELLING,
    /** The end mark has come. */
    COMPLETED,
    /** It was not run and never will be. */
    NOT_RUN,
    /** It may have been run. */
    UNKNOWN
}
