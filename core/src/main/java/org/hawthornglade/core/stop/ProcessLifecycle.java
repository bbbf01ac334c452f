package org.hawthornglade.core.stop;

import java.util.concurrent.atomic.AtomicBoolean;

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

        /** Stops, and returns when the process can end. */
        void stop();
    }

    private final AtomicBoolean stopRequested = new AtomicBoolean();
    private final AtomicBoolean reloadRequested = new AtomicBoolean();
    private Service service;

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
        stopRequested.set(true);
        stopStarted();
    }

    private synchronized void stopStarted() {
        if (service != null) {
            service.stop();
        }
    }
}
