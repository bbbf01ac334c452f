package org.hawthornglade.entry.attempt;

import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.LinkedBlockingQueue;
import org.hawthornglade.core.entry.EntryCommand;
import org.hawthornglade.core.id.RequestId;

/** Delivers the decisions on requests to the request threads that wait for them. */
public final class PendingRequests {
    private final ConcurrentHashMap<RequestId, LinkedBlockingQueue<EntryCommand>> waiting = new ConcurrentHashMap<>();

    /** Starts queueing the decisions on a request. */
    public void register(RequestId id) {
        waiting.put(id, new LinkedBlockingQueue<>());
    }

    /** Stops queueing the decisions on a request. */
    public void unregister(RequestId id) {
        waiting.remove(id);
    }

    /** Delivers a decision to the waiting thread: a {@link EntryCommand.Dispatch} or {@link EntryCommand.Refuse}. */
    public void deliver(RequestId id, EntryCommand command) {
        LinkedBlockingQueue<EntryCommand> queue = waiting.get(id);
        if (queue != null) {
            queue.add(command);
        }
    }

    /**
     * Waits for the next decision; the decider makes one at the latest shortly after the request's deadline.
     *
     * @throws InterruptedException if the waiting thread is interrupted
     */
    public EntryCommand await(RequestId id) throws InterruptedException {
        return waiting.get(id).take();
    }

    public int size() {
        return waiting.size();
    }
}
