package org.hawthornglade.entry.caller;

import static java.nio.charset.StandardCharsets.UTF_8;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.UncheckedIOException;
import org.hawthornglade.core.result.Failure;

/** Encodes the server-sent events that the entry itself adds to a stream. */
final class EventStreams {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private EventStreams() {}

    /** Returns the event that ends a stream that could not be completed; it is not followed by [DONE]. */
    static byte[] errorEvent(Failure failure) {
        try {
            return ("\n\ndata: " + MAPPER.writeValueAsString(ErrorBody.of(failure)) + "\n\n").getBytes(UTF_8);
        } catch (JsonProcessingException e) {
            throw new UncheckedIOException(e);
        }
    }
}
