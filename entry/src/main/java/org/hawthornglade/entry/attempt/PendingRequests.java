package org.hawthornglade.entry.attempt;

import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.LinkedBlockingQueue;
import org.hawthornglade.core.entry.EntryCommand;
import org.hawthornglade.core.id.RequestId;

/** Where the threads of requests wait for the decisions on them. */
public final class PendingRequests {
    private final ConcurrentHashMap<RequestId, LinkedBlockingQueue<EntryCommand>> waiting = new ConcurrentHashMap<>();

    /** Starts to collect the decisions on a request. */
    public void register(RequestId id) {
        waiting.put(id, new LinkedBlockingQueue<>());
    }

    /** Stops collecting. */
    public void unregister(RequestId id) {
        waiting.remove(id);
    }

    /** Hands on a decision: a {@link EntryCommand.Dispatch} or {@link EntryCommand.Refuse}. */
    public void deliver(RequestId id, EntryCommand command) {
        LinkedBlockingQueue<EntryCommand> queue = waiting.get(id);
        if (queue != null) {
            queue.add(command);
        }
    }

    /**
     * Waits for the next decision; the decider gives one before the request's deadline has passed for long.
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
