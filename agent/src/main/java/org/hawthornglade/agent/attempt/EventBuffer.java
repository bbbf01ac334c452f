package org.hawthornglade.agent.attempt;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import org.apache.hc.core5.http.ContentType;
import org.apache.hc.core5.http.HttpEntity;
import org.hawthornglade.core.stream.EventScanner;

/**
 * Holds the bytes of an event stream back until their event is complete; other answers pass unchanged.
 *
 * <p>A part of an event must not be passed on: whoever ends the stream after it would make it look like an event.
 */
final class EventBuffer {
    /** Limit for the bytes that are held back for one event. */
    static final int MAX_EVENT_BYTES = 1_048_576;

    private final boolean eventStream;
    private final boolean endsWithConnection;
    private final EventScanner scanner = new EventScanner();
    private ByteArrayOutputStream held = new ByteArrayOutputStream();
    private boolean receivedBytes;

    EventBuffer(HttpEntity entity) {
        ContentType type = ContentType.parseLenient(entity.getContentType());
        eventStream = ContentType.TEXT_EVENT_STREAM.isSameMimeType(type);
        endsWithConnection = !entity.isChunked() && entity.getContentLength() < 0;
    }

    /**
     * Adds the next bytes of the answer and returns those that can be passed on.
     *
     * @throws IOException if an event is longer than {@link #MAX_EVENT_BYTES}
     */
    byte[] add(byte[] bytes, int length) throws IOException {
        receivedBytes = true;
        if (!eventStream) {
            held.write(bytes, 0, length);
            return take(new ByteArrayOutputStream());
        }
        int complete = 0;
        for (int i = 0; i < length; i++) {
            scanner.add(bytes[i]);
            if (!scanner.insideEvent()) {
                complete = i + 1;
            }
        }
        held.write(bytes, 0, complete);
        ByteArrayOutputStream rest = new ByteArrayOutputStream();
        rest.write(bytes, complete, length - complete);
        if (complete > 0) {
            return take(rest);
        }
        rest.writeTo(held);
        if (held.size() > MAX_EVENT_BYTES) {
            throw new IOException("an event is longer than " + MAX_EVENT_BYTES + " bytes");
        }
        return new byte[0];
    }

    private byte[] take(ByteArrayOutputStream rest) {
        byte[] taken = held.toByteArray();
        held = rest;
        return taken;
    }

    /** Returns whether the answer, which has ended, is an event stream of which the rest is missing. */
    boolean brokenOff() {
        return eventStream && (scanner.insideEvent() || (endsWithConnection && !receivedBytes));
    }
}
