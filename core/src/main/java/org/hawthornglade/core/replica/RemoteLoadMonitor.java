package org.hawthornglade.core.replica;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import org.hawthornglade.core.id.InstanceId;

/** Monitors the loads from the weight store at all engines; the pacer learns from those that run and those that end. */
final class RemoteLoadMonitor {
    private final LoadPacer pacer;
    private final RemoteLoadListener listener;

    RemoteLoadMonitor(LoadPacer pacer, RemoteLoadListener listener) {
        this.pacer = pacer;
        this.listener = listener;
    }

    void observe(Collection<EngineReplicaTracker> trackers, long nowMs) {
        for (EngineReplicaTracker tracker : trackers) {
            Optional<RemoteLoad> ended = tracker.takeEndedRemoteLoad();
            ended.filter(load -> load.timed() && tracker.serves(load.model()))
                    .ifPresent(load -> onEnded(tracker.id(), load, nowMs));
        }
        observeRunning(trackers, nowMs);
    }

    private void observeRunning(Collection<EngineReplicaTracker> trackers, long nowMs) {
        List<RemoteLoad> known = new ArrayList<>();
        trackers.forEach(tracker -> tracker.remoteLoad().ifPresent(known::add));
        int running = running(trackers, nowMs);
        boolean nominalTimeExceeded = false;
        for (EngineReplicaTracker tracker : trackers) {
            if (tracker.remoteLoad().isPresent()) {
                RemoteLoad load = tracker.remoteLoad().get();
                load.observe(known, running, nowMs);
                tracker.updateRemoteLoadForecast();
                learnIfOverdue(tracker.id(), load, nowMs);
                nominalTimeExceeded |= load.nominalTimeExceeded(nowMs);
            }
        }
        pacer.setNominalTimeExceeded(nominalTimeExceeded);
    }

    static int running(Collection<EngineReplicaTracker> trackers, long nowMs) {
        int running = 0;
        for (EngineReplicaTracker tracker : trackers) {
            running += tracker.hasRemoteLoad(nowMs) ? 1 : 0;
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
