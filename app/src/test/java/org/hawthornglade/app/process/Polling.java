package org.hawthornglade.app.process;

import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;

/** Waits for a condition that only a fault keeps from coming. */
final class Polling {
    private static final long POLL_NANOS = TimeUnit.MILLISECONDS.toNanos(10);

    private Polling() {}

    static void until(String what, long limitMs, Callable<Boolean> condition) throws InterruptedException {
        long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(limitMs);
        while (!holds(condition)) {
            if (System.nanoTime() > endNanos) {
                throw new AssertionError("never happened within " + limitMs + " ms: " + what);
            }
            LockSupport.parkNanos(POLL_NANOS);
        }
    }

    private static boolean holds(Callable<Boolean> condition) throws InterruptedException {
        try {
            return condition.call();
        } catch (InterruptedException e) {
            throw e;
        } catch (Exception e) {
            throw new AssertionError(e);
        }
    }
}
