package org.hawthornglade.entry.caller;

import static java.nio.charset.StandardCharsets.UTF_8;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.UncheckedIOException;
import org.hawthornglade.core.result.Failure;

/** What the entry itself writes into a stream of server-sent events. */
final class EventStreams {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private EventStreams() {}

    /** Returns the event that ends a stream that could not be completed; no [DONE] follows it. */
    static byte[] errorEvent(Failure failure) {
        try {
            return ("\n\ndata: " + MAPPER.writeValueAsString(ErrorBody.of(failure)) + "\n\n").getBytes(UTF_8);
        } catch (JsonProcessingException e) {
            throw new UncheckedIOException(e);
        }
    }
}
