package org.hawthornglade.core.retry;

/** Limits repeated attempts to a share of the traffic, so that they cannot multiply an overload. */
public final class RetryBudget {
    private final double share;
    private final double maxTokens;
    private double tokens;

    /**
     * Starts with a full bucket.
     *
     * @param share how many repeated attempts are allowed for each request; from 0 to 1
     * @param maxTokens how many may follow each other at once; at least 1
     */
    public RetryBudget(double share, double maxTokens) {
        if (share < 0 || share > 1 || maxTokens < 1) {
            throw new IllegalArgumentException("not a budget: share=" + share + " maxTokens=" + maxTokens);
        }
        this.share = share;
        this.maxTokens = maxTokens;
        this.tokens = maxTokens;
    }

    /** Takes note of a first attempt. */
    public void onRequest() {
        tokens = Math.min(maxTokens, tokens + share);
    }

    /** Takes one repeated attempt out of the budget; false if it is used up. */
    public boolean tryRetry() {
        if (tokens < 1) {
            return false;
        }
        tokens -= 1;
        return true;
    }
}
