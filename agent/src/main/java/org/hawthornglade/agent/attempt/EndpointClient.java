package org.hawthornglade.agent.attempt;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.URI;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
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
import org.hawthornglade.core.time.Clock;
import org.hawthornglade.protocol.frame.FrameWriter;
import org.hawthornglade.protocol.gen.Header;

/** Calls the agent's endpoint and forwards its answer as frames. */
public final class EndpointClient {
    private static final Set<String> DROPPED_HEADERS = Set.of(
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
    private static final String REQUEST_ID = "X-Request-Id";
    private static final long MONITOR_TICK_MS = 100;
    private static final int BUFFER_BYTES = 8 * 1024;

    private final CloseableHttpClient client;
    private final URI base;
    private final AnswerTimeouts timeouts;
    private final Clock clock;
    private final ScheduledExecutorService timer;

    /**
     * Creates a client.
     *
     * @param client the HTTP client for the calls, which {@link #close} closes
     * @param base the endpoint's address
     * @param limits the time limits of its answers
     * @param clock the clock
     * @param timer the scheduler that runs the monitors of the answers
     */
    public EndpointClient(
            CloseableHttpClient client, URI base, AnswerTimeouts limits, Clock clock, ScheduledExecutorService timer) {
        this.client = client;
        this.base = base;
        this.timeouts = limits;
        this.clock = clock;
        this.timer = timer;
    }

    /** Prepares a call, which can be cancelled from another thread. */
    public HttpUriRequestBase prepare(AttemptId attempt, EndpointCall call, long remainingMs) {
        HttpUriRequestBase request = new HttpUriRequestBase(call.method(), base.resolve(call.path()));
        request.setHeader(REQUEST_ID, attempt.value());
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
        AnswerMonitor answer = new AnswerMonitor(new FrameWriter(attempt, out), timeouts, clock, request::cancel);
        ScheduledFuture<?> ticks =
                timer.scheduleWithFixedDelay(answer::tick, MONITOR_TICK_MS, MONITOR_TICK_MS, TimeUnit.MILLISECONDS);
        try {
            client.execute(request, response -> {
                checkAnswers(request, response);
                relay(response, answer);
                return null;
            });
        } catch (FrameSinkException e) {
            request.cancel();
            throw e;
        } catch (IOException e) {
            answer.checkSink();
            answer.failed(Failure.of(ResultCode.ENDPOINT_FAILED, failureMessage(answer, e)));
            return;
        } finally {
            ticks.cancel(false);
        }
        answer.end();
    }

    private String failureMessage(AnswerMonitor answer, IOException e) {
        return answer.endpointTimedOut()
                ? "the endpoint sent no data for " + timeouts.betweenBytesTimeoutMs() + " ms"
                : "the connection to the endpoint failed: " + e.getMessage();
    }

    /** Fails on a response that names another request, as a late copy does; its connection is closed. */
    private static void checkAnswers(HttpUriRequestBase request, ClassicHttpResponse response) throws IOException {
        org.apache.hc.core5.http.Header named = response.getFirstHeader(REQUEST_ID);
        if (named != null
                && !named.getValue().equals(request.getFirstHeader(REQUEST_ID).getValue())) {
            throw new IOException("the endpoint sent the response to another request");
        }
    }

    private static void relay(ClassicHttpResponse response, AnswerMonitor answer) throws IOException {
        List<Header> headers = new ArrayList<>();
        for (org.apache.hc.core5.http.Header header : response.getHeaders()) {
            if (!DROPPED_HEADERS.contains(header.getName().toLowerCase(Locale.ROOT))) {
                headers.add(new Header(header.getName(), header.getValue()));
            }
        }
        answer.head(response.getCode(), headers);
        if (response.getEntity() == null) {
            return;
        }
        EventBuffer events = new EventBuffer(response.getEntity());
        InputStream body = response.getEntity().getContent();
        byte[] buffer = new byte[BUFFER_BYTES];
        try {
            for (int read = body.read(buffer); read >= 0; read = body.read(buffer)) {
                byte[] complete = events.add(buffer, read);
                if (complete.length > 0) {
                    answer.data(complete, complete.length);
                }
            }
        } catch (FrameSinkException e) {
            // Closes the connection without reading the rest of the answer, as the entry has disconnected.
            response.close();
            throw e;
        }
        if (events.brokenOff()) {
            throw new IOException("the stream ended inside an event");
        }
    }

    /** Closes the HTTP client and all its connections immediately. */
    public void close() {
        client.close(CloseMode.IMMEDIATE);
    }
}
