package org.hawthornglade.agent.control;

import java.util.concurrent.TimeUnit;
import org.hawthornglade.core.report.AgentView;

/** Publishes the agent's latest view to the control sessions, which wait here for newer ones. */
public final class ViewPublisher {
    private AgentView latest;

    /** Publishes a view and wakes all waiting threads. */
    public synchronized void publish(AgentView view) {
        latest = view;
        notifyAll();
    }

    /**
     * Waits until there is a view newer than a revision.
     *
     * @param revision the last revision that the entry has seen
     * @param waitMs the longest wait, in milliseconds
     * @return the latest view; null if there is none yet
     * @throws InterruptedException if the waiting thread is interrupted
     */
    public synchronized AgentView awaitNewer(long revision, long waitMs) throws InterruptedException {
        long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(waitMs);
        while (latest == null || latest.revision() <= revision) {
            long remainingMs = TimeUnit.NANOSECONDS.toMillis(deadlineNanos - System.nanoTime());
            if (remainingMs <= 0) {
                break;
            }
            wait(remainingMs);
        }
        return latest;
    }
}
