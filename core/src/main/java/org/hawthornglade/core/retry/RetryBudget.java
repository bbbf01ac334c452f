package org.hawthornglade.core.retry;

import org.hawthornglade.core.limit.TokenBucket;

/** Limits repeated attempts to a share of the traffic, so that they cannot multiply an overload. */
public final class RetryBudget {
    private final TokenBucket bucket;
    private double share;

    /**
     * Starts with a full bucket.
     *
     * @param share how many repeated attempts are allowed for each request; from 0 to 1
     * @param maxTokens how many may follow each other at once; at least 1
     */
    public RetryBudget(double share, double maxTokens) {
        bucket = new TokenBucket(maxTokens, maxTokens);
        setLimits(share, maxTokens);
    }

    /** Changes the limits; what is left of the budget stays, as far as the new limits allow it. */
    public void setLimits(double newShare, double newMaxTokens) {
        if (newShare < 0 || newShare > 1 || newMaxTokens < 1) {
            throw new IllegalArgumentException("not a budget: share=" + newShare + " maxTokens=" + newMaxTokens);
        }
        share = newShare;
        bucket.capacity(newMaxTokens);
    }

    /** Takes note of a first attempt. */
    public void onRequest() {
        bucket.add(share);
    }

    /** Returns whether a repeated attempt is left. */
    public boolean allowsRetry() {
        return bucket.hasToken();
    }

    /** Takes one repeated attempt out of the budget; false if it is used up. */
    public boolean tryRetry() {
        return bucket.tryTake();
    }
}
