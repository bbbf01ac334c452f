package org.hawthornglade.app.caller;

import java.io.IOException;
import java.io.InputStream;
import java.io.PrintStream;
import java.net.URI;
import org.apache.hc.client5.http.classic.methods.HttpUriRequestBase;
import org.apache.hc.client5.http.impl.classic.CloseableHttpClient;
import org.apache.hc.client5.http.impl.classic.HttpClients;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.ContentType;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.io.entity.StringEntity;
import org.hawthornglade.app.ExitCode;

/** Makes one call to an entry and passes on the response as it arrives. */
final class CallerHttp {
    private static final int FIRST_ERROR_STATUS = 400;

    private final CallerOptions options;

    CallerHttp(CallerOptions options) {
        this.options = options;
    }

    HttpUriRequestBase request(String method, String path, String contentType, String body) {
        HttpUriRequestBase request = new HttpUriRequestBase(method, URI.create(options.entry() + path));
        request.setHeader("Authorization", "Bearer " + options.key());
        if (options.deadlineMs() > 0) {
            request.setHeader("X-Deadline-Ms", Long.toString(options.deadlineMs()));
        }
        if (body != null) {
            request.setEntity(new StringEntity(body, ContentType.parseLenient(contentType)));
        }
        return request;
    }

    /** Makes the call and prints the response body unchanged; see {@link #run(HttpUriRequestBase, BodyReader)}. */
    ExitCode run(HttpUriRequestBase request, PrintStream out) throws IOException {
        return run(request, body -> {
            body.transferTo(out);
            out.println();
            return true;
        });
    }

    /** Makes the call; a summary line goes to the standard error stream. */
    ExitCode run(HttpUriRequestBase request, BodyReader reader) throws IOException {
        try (CloseableHttpClient client =
                HttpClients.custom().disableAutomaticRetries().build()) {
            long startNanos = System.nanoTime();
            return client.execute(request, response -> readResponse(response, reader, startNanos));
        }
    }

    private static ExitCode readResponse(ClassicHttpResponse response, BodyReader reader, long startNanos)
            throws IOException {
        long headMs = elapsedMs(startNanos);
        boolean complete =
                response.getEntity() == null || reader.read(response.getEntity().getContent());
        System.err.printf(
                "status=%d request=%s head_ms=%d total_ms=%d%n",
                response.getCode(), header(response, "X-Request-Id"), headMs, elapsedMs(startNanos));
        if (response.getCode() >= FIRST_ERROR_STATUS) {
            return ExitCode.REFUSED;
        }
        return complete ? ExitCode.OK : ExitCode.UNKNOWN;
    }

    private static long elapsedMs(long startNanos) {
        return (System.nanoTime() - startNanos) / 1_000_000;
    }

    private static String header(ClassicHttpResponse response, String name) {
        Header header = response.getFirstHeader(name);
        return header == null ? "-" : header.getValue();
    }

    /** Reads a response body. */
    @FunctionalInterface
    interface BodyReader {
        /** Returns whether the body was complete. */
        boolean read(InputStream body) throws IOException;
    }
}
