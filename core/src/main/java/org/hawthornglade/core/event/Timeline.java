package org.hawthornglade.core.event;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.hawthornglade.core.time.Clock;

/**
 * A bounded ring buffer of the latest events of a process.
 *
 * <p>Thread-safe.
 */
public final class Timeline {
    private final String process;
    private final long bootId;
    private final int capacity;
    private final Clock clock;
    private final Consumer<TimelineEvent> sink;
    private final ArrayDeque<TimelineEvent> ring = new ArrayDeque<>();
    private long sequence;

    /**
     * Creates an empty timeline.
     *
     * @param process the name of the process
     * @param capacity the maximum number of events kept; at least 1
     * @param clock the clock for the times of events
     * @param sink receives every event when it is recorded, such as a log
     */
    public Timeline(String process, int capacity, Clock clock, Consumer<TimelineEvent> sink) {
        if (capacity < 1) {
            throw new IllegalArgumentException("capacity is below 1: " + capacity);
        }
        this.process = process;
        this.bootId = clock.nowMs();
        this.capacity = capacity;
        this.clock = clock;
        this.sink = sink;
    }

    public String process() {
        return process;
    }

    public long bootId() {
        return bootId;
    }

    /** Records an event; drops the oldest one if the ring buffer is full. */
    public void record(EventDraft draft) {
        TimelineEvent event;
        synchronized (ring) {
            sequence++;
            event = draft.complete(clock.nowMs(), process, bootId, sequence);
            if (ring.size() == capacity) {
                ring.removeFirst();
            }
            ring.addLast(event);
        }
        sink.accept(event);
    }

    /**
     * Returns the kept events after a sequence number, oldest first.
     *
     * @param afterSequence 0 for all
     * @param limit the maximum number of events
     */
    public List<TimelineEvent> after(long afterSequence, int limit) {
        List<TimelineEvent> found = new ArrayList<>();
        synchronized (ring) {
            for (TimelineEvent event : ring) {
                if (event.sequence() > afterSequence && found.size() < limit) {
                    found.add(event);
                }
            }
        }
        return found;
    }
}
