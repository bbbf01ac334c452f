package org.hawthornglade.ports.http;

/**
 * Time-outs and connection limits of calls to the platform.
 *
 * @param connectTimeoutMs how long opening a connection may take, in milliseconds
 * @param responseTimeoutMs how long the server may send nothing during a call, in milliseconds
 * @param poolTimeoutMs how long a call waits for a free connection, in milliseconds
 * @param maxConnectionsPerHost the maximum number of open connections to one address
 */
public record PlatformHttpSettings(
        int connectTimeoutMs, int responseTimeoutMs, int poolTimeoutMs, int maxConnectionsPerHost) {
    /** Checks the ranges. */
    public PlatformHttpSettings {
        requirePositive("connectTimeoutMs", connectTimeoutMs);
        requirePositive("responseTimeoutMs", responseTimeoutMs);
        requirePositive("poolTimeoutMs", poolTimeoutMs);
        requirePositive("maxConnectionsPerHost", maxConnectionsPerHost);
    }

    /** Returns limits that suit a platform in the same region. */
    public static PlatformHttpSettings defaults() {
        return new PlatformHttpSettings(1_000, 5_000, 1_000, 16);
    }

    private static void requirePositive(String name, int value) {
        if (value < 1) {
            throw new IllegalArgumentException(name + " must be at least 1: " + value);
        }
    }
}
