package org.hawthornglade.app.process;

import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;

/** Polls for a condition; a time-out means that the test has failed. */
final class Polling {
    private static final long POLL_NANOS = TimeUnit.MILLISECONDS.toNanos(10);

    private Polling() {}

    static void until(String description, long timeoutMs, Callable<Boolean> condition) throws InterruptedException {
        long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMs);
        while (!holds(condition)) {
            if (System.nanoTime() > endNanos) {
                throw new AssertionError("not reached within " + timeoutMs + " ms: " + description);
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
