package org.hawthornglade.gateway.exchange;

import io.netty.buffer.ByteBuf;
import java.util.Optional;
import org.hawthornglade.core.stream.EventRule;
import org.hawthornglade.gateway.http.OutboundFailure;

/** The events of one attempt's stream, with the memory for the part of an event that has arrived. */
final class ReceivedEvents {
    private final EventSplitter splitter;
    private final ResponseBufferBudget budget;
    private int reservedBytes;

    /**
     * Creates the events of a stream that begins.
     *
     * @param rule which events belong to the stream
     * @param lastId the id of the last event before the stream, if there is one
     */
    ReceivedEvents(EventRule rule, Optional<String> lastId, ResponseBufferBudget budget) {
        this.splitter = new EventSplitter(rule, lastId);
        this.budget = budget;
    }

    /** Adds bytes and returns the events that may be passed on; the caller owns the result. */
    ByteBuf add(ByteBuf bytes) {
        return splitter.add(bytes);
    }

    /** Ends the stream and returns what stands after its last event; the caller owns the result. */
    ByteBuf endOfStream() {
        return splitter.end();
    }

    /** Returns why the stream can't go on, or reserves memory for the part of an event that has arrived. */
    Optional<OutboundFailure> failure() {
        if (splitter.disorder().isPresent()) {
            return Optional.of(OutboundFailure.OUT_OF_ORDER);
        }
        if (splitter.invalid().isPresent()) {
            return Optional.of(OutboundFailure.INVALID_EVENT);
        }
        int bytes = splitter.bufferedBytes();
        if (!budget.tryHoldPartialEvent(reservedBytes, bytes)) {
            return Optional.of(OutboundFailure.ENDLESS);
        }
        reservedBytes = bytes;
        return Optional.empty();
    }

    /** Returns the id of the last event that may be passed on. */
    Optional<String> lastId() {
        return splitter.lastId();
    }

    /** Returns whether the end of an event is missing. */
    boolean insideEvent() {
        return splitter.insideEvent();
    }

    /** Records how the stream ended and releases its memory. */
    void end(CallRecord record) {
        record.onStreamEnd(insideEvent() ? splitter.bufferedBytes() : 0);
        splitter.disorder().ifPresent(record::onDisorder);
        splitter.invalid().ifPresent(record::onInvalidEvent);
        budget.releasePartialEvent(reservedBytes);
        reservedBytes = 0;
    }
}
