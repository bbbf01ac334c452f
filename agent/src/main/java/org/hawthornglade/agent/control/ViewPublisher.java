package org.hawthornglade.agent.control;

import java.util.concurrent.TimeUnit;
import org.hawthornglade.core.report.AgentView;

/** Shows the agent's latest view to the control sessions, which wait here for a newer one. */
public final class ViewPublisher {
    private AgentView latest;

    /** Shows a view and wakes all that wait. */
    public synchronized void publish(AgentView view) {
        latest = view;
        notifyAll();
    }

    /**
     * Waits until there is a view newer than a revision.
     *
     * @param revision the revision that the entry has seen
     * @param waitMs how long to wait at most, in milliseconds
     * @return the latest view; null if there is none yet
     * @throws InterruptedException if the waiting thread is interrupted
     */
    public synchronized AgentView awaitNewer(long revision, long waitMs) throws InterruptedException {
        long untilNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(waitMs);
        while (latest == null || latest.revision() <= revision) {
            long leftMs = TimeUnit.NANOSECONDS.toMillis(untilNanos - System.nanoTime());
            if (leftMs <= 0) {
                break;
            }
            wait(leftMs);
        }
        return latest;
    }
}
