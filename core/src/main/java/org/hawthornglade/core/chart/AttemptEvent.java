package org.hawthornglade.core.chart;

/** The events of an attempt. */
public enum AttemptEvent {
    /** An endpoint is chosen and the call must run at most once. */
    CLAIM_NEEDED,
    /** The first bytes are about to be sent. */
    DISPATCHED,
    /** The claim could not be acquired, or another attempt holds it. */
    CLAIM_DENIED,
    /** The head of the response was received. */
    HEAD_RECEIVED,
    /** The end marker of the response was received. */
    COMPLETE_RECEIVED,
    /** The agent reported that it did not start the attempt. */
    REFUSED,
    /** The entry cancels the attempt: deadline passed, caller disconnected, or stop. */
    GAVE_UP,
    /** The connection broke or delivered nothing for too long. */
    CONNECTION_LOST,
    /** The agent has set a tombstone: the attempt never started. */
    NEVER_STARTED,
    /** The agent reported that the attempt had started, or could not be asked. */
    HAD_STARTED
}
