package org.hawthornglade.gateway.exchange;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.hawthornglade.core.stream.EventScanner;

/**
 * Splits an event stream at the boundaries of its events.
 *
 * <p>Only complete events are returned, so that a stream which breaks within an event can be resumed after the last
 * complete event.
 */
final class EventSplitter {
    private static final byte[] ID_FIELD = "id:".getBytes(StandardCharsets.US_ASCII);

    private final ByteBuf buffered = Unpooled.buffer();
    private final EventScanner scanner = new EventScanner();
    private Optional<String> lastId;

    /**
     * Creates a splitter at the beginning of an event.
     *
     * @param lastId the id of the last event before the stream, if there is one
     */
    EventSplitter(Optional<String> lastId) {
        this.lastId = lastId;
    }

    /** Adds bytes and returns the events that they complete; the caller owns the result. */
    ByteBuf add(ByteBuf bytes) {
        int end = buffered.readerIndex();
        for (int i = bytes.readerIndex(); i < bytes.writerIndex(); i++) {
            byte value = bytes.getByte(i);
            scanner.add(value);
            buffered.writeByte(value);
            if (!scanner.insideEvent()) {
                end = buffered.writerIndex();
            }
        }
        ByteBuf events = Unpooled.copiedBuffer(buffered.slice(buffered.readerIndex(), end - buffered.readerIndex()));
        buffered.readerIndex(end);
        buffered.discardReadBytes();
        readIds(events);
        return events;
    }

    /** Returns the id of the last complete event. */
    Optional<String> lastId() {
        return lastId;
    }

    /** Returns the number of buffered bytes of an incomplete event. */
    int bufferedBytes() {
        return buffered.readableBytes();
    }

    private void readIds(ByteBuf events) {
        int lineStart = events.readerIndex();
        for (int i = events.readerIndex(); i < events.writerIndex(); i++) {
            byte value = events.getByte(i);
            if (value == '\n' || value == '\r') {
                readId(events, lineStart, i);
                lineStart = i + 1;
            }
        }
    }

    private void readId(ByteBuf events, int start, int end) {
        if (end - start <= ID_FIELD.length) {
            return;
        }
        for (int i = 0; i < ID_FIELD.length; i++) {
            if (events.getByte(start + i) != ID_FIELD[i]) {
                return;
            }
        }
        int from = start + ID_FIELD.length;
        lastId = Optional.of(
                events.toString(from, end - from, StandardCharsets.UTF_8).trim());
    }
}
