package org.hawthornglade.agent.attempt;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.URI;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import org.apache.hc.client5.http.classic.methods.HttpUriRequestBase;
import org.apache.hc.client5.http.config.RequestConfig;
import org.apache.hc.client5.http.impl.classic.CloseableHttpClient;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.ContentType;
import org.apache.hc.core5.http.io.entity.ByteArrayEntity;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.util.Timeout;
import org.hawthornglade.core.id.AttemptId;
import org.hawthornglade.core.result.Failure;
import org.hawthornglade.core.result.ResultCode;
import org.hawthornglade.protocol.frame.FrameWriter;
import org.hawthornglade.protocol.gen.Header;

/** Calls the endpoint beside the agent and passes its answer on as frames. */
public final class EndpointClient {
    private static final Set<String> NOT_PASSED = Set.of(
            "connection",
            "keep-alive",
            "transfer-encoding",
            "te",
            "trailer",
            "upgrade",
            "content-length",
            "date",
            "server",
            "proxy-authenticate",
            "proxy-authorization",
            "set-cookie");
    private static final int BUFFER_BYTES = 8 * 1024;

    private final CloseableHttpClient client;
    private final URI base;

    /**
     * Creates a client.
     *
     * @param client makes the calls; stays the caller's to close
     * @param base the endpoint's address
     */
    public EndpointClient(CloseableHttpClient client, URI base) {
        this.client = client;
        this.base = base;
    }

    /** Prepares a call; it can be cancelled from another thread. */
    public HttpUriRequestBase prepare(AttemptId attempt, EndpointCall call, long remainingMs) {
        HttpUriRequestBase request = new HttpUriRequestBase(call.method(), base.resolve(call.path()));
        request.setHeader("X-Request-Id", attempt.value());
        call.headers().forEach(header -> request.setHeader(header.getName(), header.getValue()));
        if (call.body().length > 0) {
            ContentType type = call.contentType() == null
                    ? ContentType.APPLICATION_OCTET_STREAM
                    : ContentType.parseLenient(call.contentType());
            request.setEntity(new ByteArrayEntity(call.body(), type));
        }
        request.setConfig(RequestConfig.custom()
                .setResponseTimeout(Timeout.ofMilliseconds(Math.max(1, remainingMs)))
                .build());
        return request;
    }

    /**
     * Makes the call and writes the answer as frames.
     *
     * @throws IOException if the answer cannot be written to {@code out}
     */
    public void run(HttpUriRequestBase request, AttemptId attempt, OutputStream out) throws IOException {
        FrameWriter writer = new FrameWriter(attempt, out);
        try {
            client.execute(request, response -> {
                passOn(response, writer);
                return null;
            });
        } catch (FrameSinkException e) {
            request.cancel();
            throw e;
        } catch (IOException e) {
            writer.failed(Failure.of(ResultCode.ENDPOINT_FAILED, "the endpoint broke off: " + e.getMessage()));
            return;
        }
        writer.end();
    }

    private static void passOn(ClassicHttpResponse response, FrameWriter writer) throws IOException {
        List<Header> headers = new ArrayList<>();
        for (org.apache.hc.core5.http.Header header : response.getHeaders()) {
            if (!NOT_PASSED.contains(header.getName().toLowerCase(Locale.ROOT))) {
                headers.add(new Header(header.getName(), header.getValue()));
            }
        }
        sink(() -> writer.head(response.getCode(), headers));
        if (response.getEntity() == null) {
            return;
        }
        InputStream body = response.getEntity().getContent();
        byte[] buffer = new byte[BUFFER_BYTES];
        try {
            for (int read = body.read(buffer); read >= 0; read = body.read(buffer)) {
                int length = read;
                sink(() -> writer.data(buffer, 0, length));
            }
        } catch (FrameSinkException e) {
            // The rest of the answer must not be read: the entry is gone.
            response.close();
            throw e;
        }
    }

    private static void sink(FrameWrite write) throws FrameSinkException {
        try {
            write.run();
        } catch (IOException e) {
            throw new FrameSinkException(e);
        }
    }

    /** Closes all connections at once. */
    public void close() {
        client.close(CloseMode.IMMEDIATE);
    }

    @FunctionalInterface
    private interface FrameWrite {
        void run() throws IOException;
    }
}
