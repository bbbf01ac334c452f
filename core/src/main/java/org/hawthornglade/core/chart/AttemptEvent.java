package org.hawthornglade.core.chart;

/** What happens to an attempt. */
public enum AttemptEvent {
    /** An endpoint is chosen and the call must run at most once. */
    CLAIM_NEEDED,
    /** The first bytes are about to go out. */
    DISPATCHED,
    /** The claim could not be taken, or another attempt has it. */
    CLAIM_DENIED,
    /** The head of the answer has come. */
    HEAD_RECEIVED,
    /** The end mark has come. */
    COMPLETE_RECEIVED,
    /** The agent says that it did not start it. */
    REFUSED,
    /** The entry gives up: deadline, caller gone, or stop. */
    GAVE_UP,
    /** The connection broke or went silent. */
    CONNECTION_LOST,
    /** The agent has set a tombstone: it never started. */
    NEVER_STARTED,
    /** The agent says that it had started, or cannot be asked. */
    HAD_STARTED
}
