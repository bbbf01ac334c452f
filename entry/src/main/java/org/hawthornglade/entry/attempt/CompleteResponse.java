package org.hawthornglade.entry.attempt;

import java.util.List;
import org.hawthornglade.protocol.gen.Header;

/**
 * An endpoint's complete response.
 *
 * @param status its HTTP status
 * @param headers its headers
 * @param body its body
 * @param replayed whether it is the recorded response of an earlier call
 */
@SuppressWarnings("ArrayRecordComponent") // never compared
public record CompleteResponse(int status, List<Header> headers, byte[] body, boolean replayed) {
    /** Copies the list. */
    public CompleteResponse {
        headers = List.copyOf(headers);
    }

    /** Returns the content type; null if the response has none. */
    public String contentType() {
        for (Header header : headers) {
            if (header.getName().equalsIgnoreCase("content-type")) {
                return header.getValue();
            }
        }
        return null;
    }
}
