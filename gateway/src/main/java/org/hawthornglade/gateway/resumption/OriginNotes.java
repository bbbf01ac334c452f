package org.hawthornglade.gateway.resumption;

import com.google.common.collect.Iterables;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.hawthornglade.core.id.RequestId;
import org.hawthornglade.core.resumption.StreamOrigins;
import org.hawthornglade.core.time.Clock;
import org.hawthornglade.gateway.log.EventLog;
import org.hawthornglade.gateway.loop.Timers;
import org.hawthornglade.gateway.metrics.GatewayMetrics;
import org.hawthornglade.gateway.port.OriginBatch;
import org.hawthornglade.gateway.port.StreamStore;

/**
 * Writes down in the store where streams began, in batches, so that it outlives this entry.
 *
 * <p>A stream does not wait for its note. One whose note was lost cannot be taken up at another entry.
 */
final class OriginNotes {
    /** Shortest time between two batches, in milliseconds. */
    static final long MIN_INTERVAL_MS = 100;
    /** Transactions in a second that all entries together make for their notes. */
    private static final int BATCHES_PER_S = 100;
    /** Notes that wait for the store; more are not written. */
    private static final int MAX_WAITING = 10_000;
    /** Notes of entries that have died are looked for this often, in milliseconds. */
    private static final long SWEEP_INTERVAL_MS = 60_000;

    /** The interval doubles this often while the store does not respond. */
    private static final int MAX_DOUBLINGS = 4;

    private static final long MS_PER_S = 1_000;

    private record Written(RequestId stream, long untilMs) {}

    private final StreamStore store;
    private final StoreClock storeClock;
    private final Timers timers;
    private final Clock clock;
    private final EventLog log;
    private final GatewayMetrics metrics;
    private final Map<RequestId, StreamOrigins.Entry> waiting = new LinkedHashMap<>();
    private final Set<RequestId> written = new HashSet<>();
    private final Deque<Written> expiries = new ArrayDeque<>();
    private final Set<RequestId> removals = new LinkedHashSet<>();
    private int entries = 1;
    private int failures;
    private boolean busy;
    private boolean sweeping;

    OriginNotes(
            StreamStore store,
            StoreClock storeClock,
            Timers timers,
            Clock clock,
            EventLog log,
            GatewayMetrics metrics) {
        this.storeClock = storeClock;
        this.store = store;
        this.timers = timers;
        this.clock = clock;
        this.log = log;
        this.metrics = metrics;
    }

    /** Sets the number of entries that share the store. */
    void setEntries(int number) {
        entries = number;
    }

    /** Handles that the store was restored from an older copy, which may lack the notes. */
    void onStoreRestored() {
        written.clear();
    }

    /** Sets whether this entry removes the notes of entries that have died. */
    void setSweeping(boolean on) {
        boolean begins = on && !sweeping;
        sweeping = on;
        if (begins) {
            timers.after(SWEEP_INTERVAL_MS, this::sweep);
        }
    }

    /** Writes a note with the next batch. */
    void add(StreamOrigins.Entry stream) {
        if (waiting.size() >= MAX_WAITING) {
            metrics.count("origin_notes_dropped");
            return;
        }
        if (!written.contains(stream.stream())) {
            waiting.put(stream.stream(), stream);
            schedule();
        }
    }

    /** Removes the note of a stream that has reached its caller whole. */
    void remove(RequestId stream) {
        waiting.remove(stream);
        if (written.remove(stream)) {
            removals.add(stream);
            schedule();
        }
    }

    private void schedule() {
        if (!busy) {
            busy = true;
            timers.after(intervalMs(), this::writeBatch);
        }
    }

    private long intervalMs() {
        long shareMs = Math.max(MIN_INTERVAL_MS, entries * MS_PER_S / BATCHES_PER_S);
        return shareMs << Math.min(failures, MAX_DOUBLINGS);
    }

    /** Removes the notes of this entry that no caller needs any more. */
    void expire() {
        while (!expiries.isEmpty() && expiries.peek().untilMs() <= clock.nowMs()) {
            remove(expiries.poll().stream());
        }
    }

    private void writeBatch() {
        List<StreamOrigins.Entry> added = new ArrayList<>();
        Iterables.addAll(added, Iterables.limit(waiting.values(), OriginBatch.MAX_NOTES));
        Set<RequestId> removed = new LinkedHashSet<>();
        Iterables.addAll(removed, Iterables.limit(removals, OriginBatch.MAX_NOTES - added.size()));
        added.forEach(entry -> waiting.remove(entry.stream()));
        removals.removeAll(removed);
        if (added.isEmpty() && removed.isEmpty()) {
            busy = false;
            return;
        }
        Map<RequestId, OriginBatch.Note> notes = new HashMap<>();
        added.forEach(entry -> notes.put(
                entry.stream(), new OriginBatch.Note(entry.origin(), storeClock.fromSteady(entry.untilMs()))));
        added.forEach(this::onWriting);
        store.writeOrigins(new OriginBatch(notes, removed), result -> {
            failures = result.isLeft() ? failures + 1 : 0;
            if (result.isLeft()) {
                onNotWritten(added, removed, result.getLeft().message());
            }
            busy = false;
            if (!waiting.isEmpty() || !removals.isEmpty()) {
                schedule();
            }
        });
    }

    private void onWriting(StreamOrigins.Entry entry) {
        written.add(entry.stream());
        expiries.add(new Written(entry.stream(), entry.untilMs()));
    }

    private void onNotWritten(List<StreamOrigins.Entry> added, Set<RequestId> removed, String reason) {
        metrics.count("origin_notes_failed");
        log.event("origins-not-written")
                .with("notes", added.size())
                .with("reason", reason)
                .write();
        for (StreamOrigins.Entry entry : added) {
            boolean wanted = written.remove(entry.stream()) && entry.untilMs() > clock.nowMs();
            if (wanted) {
                waiting.put(entry.stream(), entry);
            }
        }
        removals.addAll(removed);
    }

    private void sweep() {
        if (!sweeping) {
            return;
        }
        timers.after(SWEEP_INTERVAL_MS, this::sweep);
        store.readExpiries(result -> {
            if (result.isLeft()) {
                log.event("origins-not-swept")
                        .with("reason", result.getLeft().message())
                        .write();
                return;
            }
            onExpiries(result.get());
        });
    }

    private void onExpiries(StreamStore.Expiries found) {
        storeClock.onRead(found.storeNowMs());
        found.untilMs().forEach((stream, untilMs) -> {
            if (untilMs + SWEEP_INTERVAL_MS < found.storeNowMs()) {
                removals.add(stream);
            }
        });
        if (!removals.isEmpty()) {
            schedule();
        }
    }
}
