package org.hawthornglade.gateway.exchange;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.hawthornglade.core.stream.EventRule;
import org.hawthornglade.core.stream.EventScanner;
import org.hawthornglade.core.stream.StreamEvent;

/**
 * Splits an event stream at the boundaries of its events.
 *
 * <p>Only complete events are returned, so that a stream which breaks within an event can be resumed after the last
 * complete event. Nothing is returned from the first event on that is not a part of the stream, or whose id is not
 * after that of the event before it.
 */
final class EventSplitter {
    private final ByteBuf buffered = Unpooled.buffer();
    private final EventScanner scanner = new EventScanner();
    private final EventRule rule;
    private Optional<EventId> lastId;
    private Optional<EventDisorder> disorder = Optional.empty();
    private Optional<InvalidEvent> invalid = Optional.empty();

    /**
     * Creates a splitter at the beginning of an event.
     *
     * @param rule which events belong to the stream
     * @param lastId the id of the last event before the stream, if there is one
     */
    EventSplitter(EventRule rule, Optional<String> lastId) {
        this.rule = rule;
        this.lastId = lastId.map(EventId::new).filter(EventId::known);
    }

    /** Adds bytes and returns the events that they complete; the caller owns the result. */
    ByteBuf add(ByteBuf bytes) {
        int end = buffered.readerIndex();
        for (int i = bytes.readerIndex(); i < bytes.writerIndex() && !stopped(); i++) {
            byte value = bytes.getByte(i);
            scanner.add(value);
            buffered.writeByte(value);
            if (!scanner.insideEvent()) {
                end = endOfEvent(end, buffered.writerIndex());
            }
        }
        ByteBuf events = Unpooled.copiedBuffer(buffered.slice(buffered.readerIndex(), end - buffered.readerIndex()));
        buffered.readerIndex(stopped() ? buffered.writerIndex() : end);
        buffered.discardReadBytes();
        return events;
    }

    /** Returns the id of the last event that was returned, or came before the stream. */
    Optional<String> lastId() {
        return lastId.map(EventId::text);
    }

    private boolean stopped() {
        return disorder.isPresent() || invalid.isPresent();
    }

    /** Returns the event at which the splitter stopped because it is not after the one before, if it did. */
    Optional<EventDisorder> disorder() {
        return disorder;
    }

    /** Returns the event at which the splitter stopped because it is not a part of the stream, if it did. */
    Optional<InvalidEvent> invalid() {
        return invalid;
    }

    /** Returns the number of buffered bytes of an incomplete event. */
    int bufferedBytes() {
        return buffered.readableBytes();
    }

    /** Checks a complete event; returns the end of what may be passed on. */
    private int endOfEvent(int start, int end) {
        StreamEvent event = StreamEvent.read(buffered.toString(start, end - start, StandardCharsets.UTF_8));
        if (event.isEmpty()) {
            return end;
        }
        invalid = rule.defect(event).map(defect -> new InvalidEvent(defect, lastId));
        if (invalid.isPresent()) {
            return start;
        }
        Optional<EventId> id = event.id().map(EventId::new).filter(EventId::known);
        if (id.isEmpty()) {
            return end;
        }
        disorder = lastId.filter(last -> !id.get().mayFollow(last)).map(last -> new EventDisorder(last, id.get()));
        if (disorder.isPresent()) {
            return start;
        }
        lastId = id;
        return end;
    }
}
