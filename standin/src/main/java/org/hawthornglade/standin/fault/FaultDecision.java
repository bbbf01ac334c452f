package org.hawthornglade.standin.fault;

/**
 * What happens to one call.
 *
 * @param kind what is done
 * @param delayMs how long the call waits first, in milliseconds
 * @param status the status of a refusal
 * @param retryAfterMs when a refused caller may come back, in milliseconds
 */
public record FaultDecision(Kind kind, long delayMs, int status, long retryAfterMs) {
    /** What is done with a call. */
    public enum Kind {
        PASS,
        REFUSE,
        LOSE_REPLY,
        FREEZE
    }
}
