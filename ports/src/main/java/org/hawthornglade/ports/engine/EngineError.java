package org.hawthornglade.ports.engine;

/**
 * The body of an engine's error response.
 *
 * @param error the details
 */
public record EngineError(Detail error) {
    /**
     * The details of an error.
     *
     * @param message a description in one sentence
     * @param code a {@link org.hawthornglade.core.result.ResultCode} number, or 0
     * @param retryAfterMs after which time to retry, in milliseconds; 0 if not known
     */
    public record Detail(String message, int code, long retryAfterMs) {}
}
