package org.hawthornglade.core.chart;

/** The states of one attempt at a request. */
public enum AttemptState {
    /** Queued at the entry; nothing was sent. */
    QUEUED,
    /** Its claim row is being written; nothing was sent. */
    CLAIMING,
    /** Bytes may have reached the agent; no response yet. */
    SENT,
    /** Parts of the response were received. */
    STREAMING,
    /** Cancelled; the agent was asked whether the attempt ever started. */
    CANCELLING,
    /** The end marker of the response was received. */
    COMPLETED,
    /** It was not run and never will be. */
    NOT_RUN,
    /** It may have been run. */
    UNKNOWN
}
