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
 * complete event. What may stand between events is returned with the event after it, or at the end of the stream: alone
 * it is no progress. Nothing is returned from the first event on that is not a part of the stream, or whose id is not
 * after that of the event before it.
 */
final class EventSplitter {
    private final ByteBuf buffered = Unpooled.buffer();
    private final EventScanner scanner = new EventScanner();
    private final EventRule rule;
    private Optional<EventId> lastId;
    private Optional<EventDisorder> disorder = Optional.empty();
    private Optional<InvalidEvent> invalid = Optional.empty();
    /** The buffered bytes up to the end of the last event that was checked. */
    private int checkedBytes;
    /** The buffered bytes up to the end of the last event that may be returned. */
    private int completeBytes;
    /** An event has ended with CR; the LF of the same end of line may follow. */
    private boolean endedByCr;

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
        for (int i = bytes.readerIndex(); i < bytes.writerIndex() && !stopped(); i++) {
            add(bytes.getByte(i));
        }
        return take(completeBytes);
    }

    /** Ends the stream and returns what stands after its last event; the caller owns the result. */
    ByteBuf end() {
        if (endedByCr) {
            onEventEnd();
        }
        return take(scanner.insideEvent() ? completeBytes : buffered.readableBytes());
    }

    private void add(byte value) {
        boolean secondOfCrLf = endedByCr && value == '\n';
        if (endedByCr && !secondOfCrLf) {
            onEventEnd();
            if (stopped()) {
                return;
            }
        }
        scanner.add(value);
        buffered.writeByte(value);
        if (secondOfCrLf || (scanner.endedEvent() && value == '\n')) {
            onEventEnd();
        }
        endedByCr = scanner.endedEvent() && value == '\r';
    }

    /** Takes bytes from the buffer, which is emptied once the splitter has stopped. */
    private ByteBuf take(int bytes) {
        ByteBuf taken =
                Unpooled.copiedBuffer(buffered.slice(buffered.readerIndex(), stopped() ? completeBytes : bytes));
        buffered.skipBytes(stopped() ? buffered.readableBytes() : bytes);
        buffered.discardReadBytes();
        checkedBytes = Math.max(0, checkedBytes - bytes);
        completeBytes = 0;
        return taken;
    }

    private boolean stopped() {
        return disorder.isPresent() || invalid.isPresent();
    }

    /** Checks an event that has ended. */
    private void onEventEnd() {
        int start = buffered.readerIndex() + checkedBytes;
        String text = buffered.toString(start, buffered.writerIndex() - start, StandardCharsets.UTF_8);
        checkedBytes = buffered.readableBytes();
        StreamEvent event = StreamEvent.read(text);
        invalid = rule.defect(event).map(defect -> new InvalidEvent(defect, lastId));
        if (invalid.isPresent() || !event.hasContent()) {
            return;
        }
        Optional<EventId> id = event.id().map(EventId::new).filter(EventId::known);
        disorder = id.flatMap(this::disorderOf);
        if (disorder.isPresent()) {
            return;
        }
        lastId = id.or(() -> lastId);
        completeBytes = checkedBytes;
    }

    private Optional<EventDisorder> disorderOf(EventId id) {
        return lastId.filter(last -> !id.mayFollow(last)).map(last -> new EventDisorder(last, id));
    }

    /** Returns the id of the last event that was returned, or came before the stream. */
    Optional<String> lastId() {
        return lastId.map(EventId::text);
    }

    /** Returns the event at which the splitter stopped because it is not after the one before, if it did. */
    Optional<EventDisorder> disorder() {
        return disorder;
    }

    /** Returns the event at which the splitter stopped because it is not a part of the stream, if it did. */
    Optional<InvalidEvent> invalid() {
        return invalid;
    }

    /** Returns the number of buffered bytes: of an incomplete event, and of what stands before it. */
    int bufferedBytes() {
        return buffered.readableBytes();
    }

    /** Returns whether the end of an event is missing. */
    boolean insideEvent() {
        return scanner.insideEvent();
    }
}
