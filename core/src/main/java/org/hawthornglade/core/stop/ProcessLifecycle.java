package org.hawthornglade.core.stop;

import java.util.concurrent.atomic.AtomicBoolean;
import org.hawthornglade.core.time.Clock;

/**
 * Starts, reloads and stops a process one after another, whenever its signals arrive.
 *
 * <p>Signals can be handled before the process starts: a stop then prevents the start, a reload follows it.
 */
public final class ProcessLifecycle {
    /** What is started, reloaded and stopped. */
    public interface Service {
        /** Starts; other methods are called after it only. */
        void start();

        /** Reads the settings again. */
        void reload();

        /**
         * Stops, and returns when the process can end.
         *
         * @param requestedAtMs when the stop was requested, from which its time counts
         */
        void stop(long requestedAtMs);
    }

    private final Clock clock;
    private final AtomicBoolean stopRequested = new AtomicBoolean();
    private final AtomicBoolean reloadRequested = new AtomicBoolean();
    private Service service;

    /** Creates a lifecycle of a process that has not started. */
    public ProcessLifecycle(Clock clock) {
        this.clock = clock;
    }

    /** Starts a service, unless a stop was requested. */
    public synchronized void start(Service started) {
        if (stopRequested.get()) {
            return;
        }
        started.start();
        service = started;
        reloadIfRequested();
    }

    /** Requests that the service reads its settings again, once it has started and unless it stops. */
    public void requestReload() {
        reloadRequested.set(true);
        reloadIfRequested();
    }

    private synchronized void reloadIfRequested() {
        if (service == null || stopRequested.get() || !reloadRequested.getAndSet(false)) {
            return;
        }
        service.reload();
    }

    /** Stops the service, after its start if that is in progress; returns when the process can end. */
    public void stop() {
        long requestedAtMs = clock.nowMs();
        stopRequested.set(true);
        stopStarted(requestedAtMs);
    }

    private synchronized void stopStarted(long requestedAtMs) {
        if (service != null) {
            service.stop(requestedAtMs);
        }
    }
}
