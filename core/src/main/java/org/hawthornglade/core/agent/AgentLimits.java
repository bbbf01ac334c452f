package org.hawthornglade.core.agent;

/**
 * The limits of an agent.
 *
 * @param drainTimeoutMs how long a drain may take, in milliseconds
 * @param fenceCheckMaxAgeMs the maximum age of the last check of the fencing number when an order is sent to an engine
 *     that ignores fencing numbers, in milliseconds
 * @param maxRunning how many attempts may run at once, over all models
 */
public record AgentLimits(long drainTimeoutMs, long fenceCheckMaxAgeMs, int maxRunning) {
    private static final long DRAIN_TIMEOUT_MS = 120_000;
    private static final long FENCE_CHECK_MAX_AGE_MS = 1_000;
    private static final int MAX_RUNNING = 1_024;

    /** Returns the limits of an agent whose settings do not set any. */
    public static AgentLimits defaults() {
        return new AgentLimits(DRAIN_TIMEOUT_MS, FENCE_CHECK_MAX_AGE_MS, MAX_RUNNING);
    }
}
