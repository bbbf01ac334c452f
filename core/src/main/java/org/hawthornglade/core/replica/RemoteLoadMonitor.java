package org.hawthornglade.core.replica;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import org.hawthornglade.core.id.InstanceId;

/** Watches the loads from the weight store at all engines; the pacer learns from those that run and those that end. */
final class RemoteLoadMonitor {
    private final LoadPacer pacer;
    private final RemoteLoadListener listener;

    RemoteLoadMonitor(LoadPacer pacer, RemoteLoadListener listener) {
        this.pacer = pacer;
        this.listener = listener;
    }

    void observe(Collection<EngineReplicaTracker> books, long nowMs) {
        for (EngineReplicaTracker book : books) {
            Optional<RemoteLoad> ended = book.takeEndedRemoteLoad();
            ended.filter(load -> load.timed() && book.serves(load.model()))
                    .ifPresent(load -> onEnded(book.id(), load, nowMs));
        }
        observeRunning(books, nowMs);
    }

    private void observeRunning(Collection<EngineReplicaTracker> books, long nowMs) {
        List<RemoteLoad> known = new ArrayList<>();
        books.forEach(book -> book.remoteLoad().ifPresent(known::add));
        int running = running(books, nowMs);
        boolean overdue = false;
        for (EngineReplicaTracker book : books) {
            if (book.remoteLoad().isPresent()) {
                RemoteLoad load = book.remoteLoad().get();
                load.observe(known, running, nowMs);
                book.updateRemoteLoadForecast();
                learnIfOverdue(book.id(), load, nowMs);
                overdue |= load.nominalTimeExceeded(nowMs);
            }
        }
        pacer.setNominalTimeExceeded(overdue);
    }

    static int running(Collection<EngineReplicaTracker> books, long nowMs) {
        int running = 0;
        for (EngineReplicaTracker book : books) {
            running += book.hasRemoteLoad(nowMs) ? 1 : 0;
        }
        return running;
    }

    private void onEnded(InstanceId instance, RemoteLoad load, long nowMs) {
        LoadSample sample = load.sample(nowMs);
        listener.onEnded(instance, load.model(), load.elapsedMs(nowMs), load.nominalMs(), sample.maxConcurrent());
        if (load.stuck(nowMs)) {
            return;
        }
        LoadLimits before = pacer.limits(nowMs);
        pacer.onEnd(sample, nowMs);
        notifyIfChanged(before, "load-ended", nowMs);
    }

    private void learnIfOverdue(InstanceId instance, RemoteLoad load, long nowMs) {
        if (!load.overdue(nowMs)) {
            return;
        }
        LoadSample sample = load.sample(nowMs);
        if (load.becomesOverdue(nowMs)) {
            listener.onOverdue(instance, load.model(), load.elapsedMs(nowMs), load.nominalMs(), sample.maxConcurrent());
        }
        LoadLimits before = pacer.limits(nowMs);
        pacer.onOverdue(sample, nowMs);
        notifyIfChanged(before, "load-late", nowMs);
    }

    private void notifyIfChanged(LoadLimits before, String cause, long nowMs) {
        LoadLimits now = pacer.limits(nowMs);
        if (!now.equals(before)) {
            listener.onLimitsChanged(now, cause);
        }
    }
}
