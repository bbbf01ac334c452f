package org.hawthornglade.ports.engine;

/**
 * The body of an engine's refusal.
 *
 * @param error what was wrong
 */
public record EngineError(Detail error) {
    /**
     * What was wrong.
     *
     * @param message one sentence
     * @param code our result code, or 0
     * @param retryAfterMs when to come back, in milliseconds; 0 if not known
     */
    public record Detail(String message, int code, long retryAfterMs) {}
}
