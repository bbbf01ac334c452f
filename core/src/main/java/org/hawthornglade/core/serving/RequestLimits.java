package org.hawthornglade.core.serving;

/**
 * Limits on the size and duration of callers' requests.
 *
 * @param maxHeaderBytes the maximum size of the request line and all headers
 * @param maxBodyBytes the maximum size of the body
 * @param headerTimeoutMs the maximum time until the headers are received
 * @param idleTimeoutMs the maximum time that a connection stays open without a request
 */
public record RequestLimits(int maxHeaderBytes, int maxBodyBytes, long headerTimeoutMs, long idleTimeoutMs) {
    /** The limits until a configuration is known. */
    public static final RequestLimits DEFAULT = new RequestLimits(16_384, 4_194_304, 3_000, 15_000);
}
