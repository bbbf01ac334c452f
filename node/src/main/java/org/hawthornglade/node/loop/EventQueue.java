package org.hawthornglade.node.loop;

import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

/**
 * A queue of events for a decision loop.
 *
 * @param <E> the events
 */
public final class EventQueue<E> {
    private final LinkedBlockingQueue<E> events = new LinkedBlockingQueue<>();

    /** Adds an event; never blocks. */
    public void submit(E event) {
        events.add(event);
    }

    /** Returns the number of waiting events. */
    public int backlog() {
        return events.size();
    }

    /** Waits for the next event; null if none came in time. */
    E poll(long waitMs) throws InterruptedException {
        return events.poll(waitMs, TimeUnit.MILLISECONDS);
    }
}
