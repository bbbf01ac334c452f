package org.hawthornglade.gateway.exchange;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.util.Optional;
import org.hawthornglade.core.stream.EventScanner;

/**
 * Splits an event stream at the boundaries of its events.
 *
 * <p>Only complete events are returned, so that a stream which breaks within an event can be resumed after the last
 * complete event.
 */
final class EventSplitter {
    private final ByteBuf buffered = Unpooled.buffer();
    private final EventScanner scanner = new EventScanner();
    private Optional<EventId> lastId;
    private Optional<EventDisorder> disorder = Optional.empty();

    /**
     * Creates a splitter at the beginning of an event.
     *
     * @param lastId the id of the last event before the stream, if there is one
     */
    EventSplitter(Optional<String> lastId) {
        this.lastId = lastId.map(EventId::new);
    }

    /** Adds bytes and returns the events that they complete; the caller owns the result. */
    ByteBuf add(ByteBuf bytes) {
        int end = buffered.readerIndex();
        for (int i = bytes.readerIndex(); i < bytes.writerIndex(); i++) {
            byte value = bytes.getByte(i);
            scanner.add(value);
            buffered.writeByte(value);
            if (!scanner.insideEvent()) {
                readEvent(end, buffered.writerIndex());
                end = buffered.writerIndex();
            }
        }
        ByteBuf events = Unpooled.copiedBuffer(buffered.slice(buffered.readerIndex(), end - buffered.readerIndex()));
        buffered.readerIndex(end);
        buffered.discardReadBytes();
        return events;
    }

    /** Returns the id of the last complete event. */
    Optional<String> lastId() {
        return lastId.map(EventId::text);
    }

    /** Returns the first event whose id was not after the one before, if there was one. */
    Optional<EventDisorder> disorder() {
        return disorder;
    }

    /** Returns the number of buffered bytes of an incomplete event. */
    int bufferedBytes() {
        return buffered.readableBytes();
    }

    private void readEvent(int start, int end) {
        Optional<EventId> id = EventId.read(buffered, start, end);
        if (id.isEmpty()) {
            return;
        }
        if (disorder.isEmpty()) {
            disorder = lastId.filter(last -> !id.get().mayFollow(last)).map(last -> new EventDisorder(last, id.get()));
        }
        lastId = id;
    }
}
