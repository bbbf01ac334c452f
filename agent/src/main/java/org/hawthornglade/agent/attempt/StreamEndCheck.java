package org.hawthornglade.agent.attempt;

import org.apache.hc.core5.http.ContentType;
import org.apache.hc.core5.http.HttpEntity;
import org.hawthornglade.core.stream.EventScanner;

/** Checks whether an answer that has ended is complete: an event stream must not end inside an event. */
final class StreamEndCheck {
    private final boolean eventStream;
    private final boolean endsWithConnection;
    private final EventScanner scanner = new EventScanner();
    private boolean receivedBytes;

    StreamEndCheck(HttpEntity entity) {
        ContentType type = ContentType.parseLenient(entity.getContentType());
        eventStream = ContentType.TEXT_EVENT_STREAM.isSameMimeType(type);
        endsWithConnection = !entity.isChunked() && entity.getContentLength() < 0;
    }

    /** Reads the next bytes of the answer. */
    void add(byte[] bytes, int length) {
        if (!eventStream) {
            return;
        }
        receivedBytes = true;
        for (int i = 0; i < length; i++) {
            scanner.add(bytes[i]);
        }
    }

    /** Returns whether the answer, which has ended, is an event stream of which the rest is missing. */
    boolean brokenOff() {
        return eventStream && (scanner.insideEvent() || (endsWithConnection && !receivedBytes));
    }
}
