package org.hawthornglade.core.lease;

/**
 * An attempt to connect to the holder of the lease that has ended.
 *
 * @param address the address that was connected to, as {@code HOST:PORT}
 * @param startedAtMs when the attempt began, in milliseconds
 * @param refused whether the host refused the connection, rather than accepted it or did not answer
 */
public record ConnectionAttempt(String address, long startedAtMs, boolean refused) {}
