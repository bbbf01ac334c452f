package org.hawthornglade.core.limit;

/** A number of things that may still be done, up to a capacity. */
public final class TokenBucket {
    private double capacity;
    private double tokens;

    /**
     * Creates a bucket.
     *
     * @param capacity the most that it holds
     * @param tokens what it holds at first
     */
    public TokenBucket(double capacity, double tokens) {
        this.capacity = capacity;
        this.tokens = tokens;
    }

    /** Changes the capacity; what is there stays, as far as the new one allows it. */
    public void capacity(double newCapacity) {
        capacity = newCapacity;
        tokens = Math.min(tokens, newCapacity);
    }

    /** Adds to what is there. */
    public void add(double more) {
        tokens = Math.min(capacity, tokens + more);
    }

    /** Returns whether one can be taken. */
    public boolean hasToken() {
        return tokens >= 1;
    }

    /** Takes one; false if there is none. */
    public boolean tryTake() {
        if (!hasToken()) {
            return false;
        }
        tokens -= 1;
        return true;
    }
}
