package org.hawthornglade.standin;

import java.util.function.BooleanSupplier;

/** Waits for a condition, with a limit that only a fault can reach. */
public final class Eventually {
    private static final long LIMIT_MS = 30_000;
    private static final long POLL_MS = 5;

    private Eventually() {}

    /** Returns once the condition holds; fails if it never does. */
    public static void eventually(String what, BooleanSupplier condition) {
        Object monitor = new Object();
        long endNanos = System.nanoTime() + LIMIT_MS * 1_000_000;
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() > endNanos) {
                throw new AssertionError("never happened: " + what);
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
