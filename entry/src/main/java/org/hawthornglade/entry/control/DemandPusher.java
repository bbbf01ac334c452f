package org.hawthornglade.entry.control;

import java.util.List;
import org.hawthornglade.core.report.ModelDemand;

/** Tells an agent at once when demand has changed, instead of with the next exchange. */
final class DemandPusher implements AutoCloseable {
    private final Runnable push;
    private final Thread thread;
    private List<ModelDemand> latest = List.of();
    private List<Waiting> told = List.of();
    private boolean closed;

    /**
     * Creates a pusher that is not started.
     *
     * @param push tells the agent the latest demand; may block
     */
    DemandPusher(String name, Runnable push) {
        this.push = push;
        this.thread = new Thread(this::run, name);
        this.thread.setDaemon(true);
    }

    void start() {
        thread.start();
    }

    synchronized void offer(List<ModelDemand> demand) {
        latest = demand;
        if (!waiting(demand).equals(told)) {
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

    /** Returns false when the pusher is closed. */
    private synchronized boolean awaitChange() {
        try {
            while (!closed && waiting(latest).equals(told)) {
                wait();
            }
        } catch (InterruptedException e) {
            return false;
        }
        told = waiting(latest);
        return !closed;
    }

    private static List<Waiting> waiting(List<ModelDemand> demand) {
        return demand.stream()
                .filter(model -> model.queued() > 0)
                .map(model -> new Waiting(
                        model.model().value(), model.queued(), model.adapters().size()))
                .toList();
    }

    private record Waiting(String model, int queued, int adapters) {}
}
