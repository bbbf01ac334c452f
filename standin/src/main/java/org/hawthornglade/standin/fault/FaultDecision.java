package org.hawthornglade.standin.fault;

/**
 * The fault that is applied to one call.
 *
 * @param kind the kind of fault
 * @param delayMs the delay before the call is handled, in milliseconds
 * @param status the HTTP status of a refusal
 * @param retryAfterMs the time after which a refused caller may retry, in milliseconds
 */
public record FaultDecision(Kind kind, long delayMs, int status, long retryAfterMs) {
    /** The kinds of faults. */
    public enum Kind {
        PASS,
        REFUSE,
        LOSE_REPLY,
        FREEZE
    }
}
