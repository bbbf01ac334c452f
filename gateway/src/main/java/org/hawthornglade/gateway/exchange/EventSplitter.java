package org.hawthornglade.gateway.exchange;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

/**
 * Splits an event stream at the boundaries of its events.
 *
 * <p>Only complete events are returned, so that a stream which breaks within an event can be resumed after the last
 * complete event.
 */
final class EventSplitter {
    private static final byte[] ID_FIELD = "id:".getBytes(StandardCharsets.US_ASCII);

    private final ByteBuf buffered = Unpooled.buffer();
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
        buffered.writeBytes(bytes);
        int end = endOfLastEvent();
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

    /** Returns the bytes after the last complete event; the caller owns the result. */
    ByteBuf remainder() {
        return Unpooled.copiedBuffer(buffered);
    }

    private int endOfLastEvent() {
        for (int end = buffered.writerIndex(); end > buffered.readerIndex() + 1; end--) {
            if (buffered.getByte(end - 1) == '\n' && endsWithEmptyLine(end - 1)) {
                return end;
            }
        }
        return buffered.readerIndex();
    }

    private boolean endsWithEmptyLine(int newline) {
        int before = newline - 1;
        if (buffered.getByte(before) == '\r') {
            before--;
        }
        return before >= buffered.readerIndex() && buffered.getByte(before) == '\n';
    }

    private void readIds(ByteBuf events) {
        int lineStart = events.readerIndex();
        for (int i = events.readerIndex(); i < events.writerIndex(); i++) {
            if (events.getByte(i) == '\n') {
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
