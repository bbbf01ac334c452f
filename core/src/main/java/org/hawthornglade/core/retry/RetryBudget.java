package org.hawthornglade.core.retry;

import org.hawthornglade.core.limit.TokenBucket;

/** Limits repeated attempts to a share of the traffic, so that they cannot multiply an overload. */
public final class RetryBudget {
    private final TokenBucket bucket;
    private double share;

    /**
     * Creates a budget with a full token bucket.
     *
     * @param share how many repeated attempts are allowed for each request; from 0 to 1
     * @param maxTokens how many repeated attempts may follow each other immediately; at least 1
     */
    public RetryBudget(double share, double maxTokens) {
        bucket = new TokenBucket(maxTokens, maxTokens);
        setLimits(share, maxTokens);
    }

    /**
     * Sets the limits; the remaining budget is kept as far as the new limits allow it.
     *
     * @throws IllegalArgumentException if a limit is out of range
     */
    public void setLimits(double newShare, double newMaxTokens) {
        if (newShare < 0 || newShare > 1 || newMaxTokens < 1) {
            throw new IllegalArgumentException(
                    "invalid retry budget: share=" + newShare + " maxTokens=" + newMaxTokens);
        }
        share = newShare;
        bucket.capacity(newMaxTokens);
    }

    /** Records the first attempt of a request. */
    public void onRequest() {
        bucket.add(share);
    }

    /** Returns whether the budget allows a repeated attempt. */
    public boolean allowsRetry() {
        return bucket.hasToken();
    }

    /** Takes one repeated attempt from the budget; returns false if the budget is used up. */
    public boolean tryRetry() {
        return bucket.tryTake();
    }
}
