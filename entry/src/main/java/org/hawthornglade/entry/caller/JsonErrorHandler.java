package org.hawthornglade.entry.caller;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.UncheckedIOException;
import java.nio.ByteBuffer;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.server.handler.ErrorHandler;
import org.eclipse.jetty.util.Callback;

/** Writes the JSON error object when the HTTP server fails a request itself, as for a malformed request line. */
public final class JsonErrorHandler extends ErrorHandler {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    @Override
    public boolean handle(Request request, Response response, Callback callback) {
        response.getHeaders().put(HttpHeader.CONTENT_TYPE, "application/json");
        response.write(true, ByteBuffer.wrap(body(response.getStatus())), callback);
        return true;
    }

    private static byte[] body(int status) {
        try {
            return MAPPER.writeValueAsBytes(ErrorBody.of(HttpErrors.failure(status)));
        } catch (JsonProcessingException e) {
            throw new UncheckedIOException(e);
        }
    }
}
