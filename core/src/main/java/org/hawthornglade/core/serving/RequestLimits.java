package org.hawthornglade.core.serving;

/**
 * What a caller may send and how long it may take.
 *
 * @param maxHeaderBytes the longest request line with all headers
 * @param maxBodyBytes the longest body
 * @param headerTimeoutMs how long the headers may take to arrive
 * @param idleTimeoutMs how long a connection may stay without a request
 */
public record RequestLimits(int maxHeaderBytes, int maxBodyBytes, long headerTimeoutMs, long idleTimeoutMs) {
    /** The limits while no configuration is known. */
    public static final RequestLimits DEFAULT = new RequestLimits(16_384, 4_194_304, 3_000, 15_000);
}
