package org.hawthornglade.core.limit;

/** A token bucket that the owner refills explicitly. */
public final class TokenBucket {
    private double capacity;
    private double tokens;

    /**
     * Creates a bucket.
     *
     * @param capacity the maximum number of tokens
     * @param tokens the initial number of tokens
     */
    public TokenBucket(double capacity, double tokens) {
        this.capacity = capacity;
        this.tokens = tokens;
    }

    /** Changes the capacity and discards tokens beyond the new one. */
    public void capacity(double newCapacity) {
        capacity = newCapacity;
        tokens = Math.min(tokens, newCapacity);
    }

    /** Adds tokens, up to the capacity. */
    public void add(double more) {
        tokens = Math.min(capacity, tokens + more);
    }

    /** Returns whether at least one token is available. */
    public boolean hasToken() {
        return tokens >= 1;
    }

    /** Takes one token; returns false if none is available. */
    public boolean tryTake() {
        if (!hasToken()) {
            return false;
        }
        tokens -= 1;
        return true;
    }
}
