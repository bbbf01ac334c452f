package org.hawthornglade.entry.control;

import java.util.List;
import org.hawthornglade.core.report.ModelDemand;

/** Reports changed demand to an agent immediately instead of with the next exchange. */
final class DemandPusher implements AutoCloseable {
    private final Runnable push;
    private final Thread thread;
    private List<ModelDemand> latest = List.of();
    private List<QueuedDemand> lastPushed = List.of();
    private boolean closed;

    /**
     * Creates a pusher that is not started.
     *
     * @param push reports the latest demand to the agent; may block
     */
    DemandPusher(String name, Runnable push) {
        this.push = push;
        this.thread = new Thread(this::run, name);
        this.thread.setDaemon(true);
    }

    void start() {
        thread.start();
    }

    synchronized void update(List<ModelDemand> demand) {
        latest = demand;
        if (!queuedDemand(demand).equals(lastPushed)) {
            notifyAll();
        }
    }

    synchronized List<ModelDemand> latest() {
        return latest;
    }

    @Override
    public synchronized void close() {
        closed = true;
        notifyAll();
    }

    private void run() {
        while (awaitChange()) {
            push.run();
        }
    }

    /** Waits until the queued demand differs from the last push; returns false if the pusher is closed. */
    private synchronized boolean awaitChange() {
        try {
            while (!closed && queuedDemand(latest).equals(lastPushed)) {
                wait();
            }
        } catch (InterruptedException e) {
            return false;
        }
        lastPushed = queuedDemand(latest);
        return !closed;
    }

    private static List<QueuedDemand> queuedDemand(List<ModelDemand> demand) {
        return demand.stream()
                .filter(model -> model.queued() > 0)
                .map(model -> new QueuedDemand(
                        model.model().value(), model.queued(), model.adapters().size()))
                .toList();
    }

    private record QueuedDemand(String model, int queued, int adapters) {}
}
