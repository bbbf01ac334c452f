package org.hawthornglade.app.caller;

import static java.nio.charset.StandardCharsets.UTF_8;

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

/** Makes one call to an entry and copies the answer as it comes. */
final class CallerHttp {
    private static final int BUFFER_BYTES = 4 * 1024;
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

    /** Makes the call; the answer's body goes to {@code out}, a line on it to the standard error stream. */
    ExitCode run(HttpUriRequestBase request, PrintStream out) throws IOException {
        long startNanos = System.nanoTime();
        try (CloseableHttpClient client =
                HttpClients.custom().disableAutomaticRetries().build()) {
            return client.execute(request, response -> copy(response, out, startNanos));
        }
    }

    private static ExitCode copy(ClassicHttpResponse response, PrintStream out, long startNanos) throws IOException {
        long firstMs = -1;
        if (response.getEntity() != null) {
            InputStream body = response.getEntity().getContent();
            byte[] buffer = new byte[BUFFER_BYTES];
            for (int read = body.read(buffer); read >= 0; read = body.read(buffer)) {
                firstMs = firstMs < 0 ? sinceMs(startNanos) : firstMs;
                out.write(buffer, 0, read);
                out.flush();
            }
        }
        out.write("\n".getBytes(UTF_8));
        System.err.printf(
                "status=%d request=%s first_byte_ms=%d total_ms=%d%n",
                response.getCode(), header(response, "X-Request-Id"), firstMs, sinceMs(startNanos));
        return response.getCode() < FIRST_ERROR_STATUS ? ExitCode.OK : ExitCode.REFUSED;
    }

    private static long sinceMs(long startNanos) {
        return (System.nanoTime() - startNanos) / 1_000_000;
    }

    private static String header(ClassicHttpResponse response, String name) {
        Header header = response.getFirstHeader(name);
        return header == null ? "-" : header.getValue();
    }
}
