package org.hawthornglade.standin;

import java.util.function.BooleanSupplier;

/** Waits for a condition, with a time limit that is only reached in case of a fault. */
public final class Eventually {
    private static final long LIMIT_MS = 30_000;
    private static final long POLL_MS = 5;

    private Eventually() {}

    /** Returns once the condition holds; fails if it does not hold within 30 seconds. */
    public static void eventually(String what, BooleanSupplier condition) {
        Object monitor = new Object();
        long endNanos = System.nanoTime() + LIMIT_MS * 1_000_000;
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() > endNanos) {
                throw new AssertionError("condition not met within the time limit: " + what);
            }
            pause(monitor);
        }
    }

    @SuppressWarnings("WaitNotInLoop")
    private static void pause(Object monitor) {
        synchronized (monitor) {
            try {
                monitor.wait(POLL_MS);
            } catch (InterruptedException e) {
                throw new AssertionError(e);
            }
        }
    }
}
