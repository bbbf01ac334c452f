package org.hawthornglade.core.replica;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import org.hawthornglade.core.id.InstanceId;

/** Watches the loads from the weight store at all engines; the pacer learns from those that run and those that end. */
final class RemoteLoadWatch {
    private final LoadPacer pacer;
    private final RemoteLoadListener listener;

    RemoteLoadWatch(LoadPacer pacer, RemoteLoadListener listener) {
        this.pacer = pacer;
        this.listener = listener;
    }

    void watch(Collection<EngineBook> books, long nowMs) {
        for (EngineBook book : books) {
            Optional<RemoteLoad> ended = book.takeEndedRemoteLoad();
            ended.filter(load -> load.timed() && book.serves(load.model()))
                    .ifPresent(load -> ended(book.id(), load, nowMs));
        }
        follow(books, nowMs);
    }

    private void follow(Collection<EngineBook> books, long nowMs) {
        List<RemoteLoad> known = new ArrayList<>();
        books.forEach(book -> book.remoteLoad().ifPresent(known::add));
        int running = running(books, nowMs);
        boolean overdue = false;
        for (EngineBook book : books) {
            if (book.remoteLoad().isPresent()) {
                RemoteLoad load = book.remoteLoad().get();
                load.watch(known, running, nowMs);
                book.foretellRemoteLoad();
                learnIfLate(book.id(), load, nowMs);
                overdue |= load.overdue(nowMs);
            }
        }
        pacer.overdue(overdue);
    }

    static int running(Collection<EngineBook> books, long nowMs) {
        int running = 0;
        for (EngineBook book : books) {
            running += book.loadingRemotely(nowMs) ? 1 : 0;
        }
        return running;
    }

    private void ended(InstanceId instance, RemoteLoad load, long nowMs) {
        LoadSample sample = load.sample(nowMs);
        listener.onEnded(instance, load.model(), load.elapsedMs(nowMs), load.nominalMs(), sample.mostAtOnce());
        if (load.stuck(nowMs)) {
            return;
        }
        LoadLimits before = pacer.limits(nowMs);
        pacer.onEnd(sample, nowMs);
        tellChange(before, "load-ended", nowMs);
    }

    private void learnIfLate(InstanceId instance, RemoteLoad load, long nowMs) {
        if (!load.late(nowMs)) {
            return;
        }
        LoadSample sample = load.sample(nowMs);
        if (load.becomesLate(nowMs)) {
            listener.onLate(instance, load.model(), load.elapsedMs(nowMs), load.nominalMs(), sample.mostAtOnce());
        }
        LoadLimits before = pacer.limits(nowMs);
        pacer.onLate(sample, nowMs);
        tellChange(before, "load-late", nowMs);
    }

    private void tellChange(LoadLimits before, String cause, long nowMs) {
        LoadLimits now = pacer.limits(nowMs);
        if (!now.equals(before)) {
            listener.onLimits(now, cause);
        }
    }
}
