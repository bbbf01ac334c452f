package org.hawthornglade.app.load;

import java.net.URI;
import java.util.concurrent.Future;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.apache.hc.client5.http.config.ConnectionConfig;
import org.apache.hc.client5.http.config.RequestConfig;
import org.apache.hc.client5.http.config.TlsConfig;
import org.apache.hc.client5.http.impl.async.CloseableHttpAsyncClient;
import org.apache.hc.client5.http.impl.async.HttpAsyncClients;
import org.apache.hc.client5.http.impl.nio.PoolingAsyncClientConnectionManagerBuilder;
import org.apache.hc.core5.concurrent.FutureCallback;
import org.apache.hc.core5.http.ContentType;
import org.apache.hc.core5.http.nio.AsyncRequestProducer;
import org.apache.hc.core5.http.nio.support.AsyncRequestBuilder;
import org.apache.hc.core5.http2.HttpVersionPolicy;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.reactor.IOReactorConfig;
import org.apache.hc.core5.util.Timeout;

/** Sends requests asynchronously on a fixed number of threads, regardless of how many responses are open. */
final class LoadClient implements AutoCloseable {
    private static final int IO_THREADS = 2;
    private static final int MAX_CONNECTIONS = 8_192;
    private static final int CONNECT_TIMEOUT_MS = 2_000;
    private static final int RESPONSE_TIMEOUT_MS = 120_000;

    private final CloseableHttpAsyncClient client;
    private final LongSupplier runNanos;

    /**
     * Creates a client.
     *
     * @param runNanos supplies the time since the start of the run, in nanoseconds
     */
    LoadClient(LongSupplier runNanos) {
        this.runNanos = runNanos;
        this.client = HttpAsyncClients.custom()
                .setIOReactorConfig(
                        IOReactorConfig.custom().setIoThreadCount(IO_THREADS).build())
                .setConnectionManager(PoolingAsyncClientConnectionManagerBuilder.create()
                        .setMaxConnPerRoute(MAX_CONNECTIONS)
                        .setMaxConnTotal(MAX_CONNECTIONS)
                        .setDefaultTlsConfig(TlsConfig.custom()
                                .setVersionPolicy(HttpVersionPolicy.FORCE_HTTP_1)
                                .build())
                        .setDefaultConnectionConfig(ConnectionConfig.custom()
                                .setConnectTimeout(Timeout.ofMilliseconds(CONNECT_TIMEOUT_MS))
                                .build())
                        .build())
                .setDefaultRequestConfig(RequestConfig.custom()
                        .setConnectionRequestTimeout(Timeout.ofMilliseconds(CONNECT_TIMEOUT_MS))
                        .setResponseTimeout(Timeout.ofMilliseconds(RESPONSE_TIMEOUT_MS))
                        .build())
                .disableAutomaticRetries()
                .disableRedirectHandling()
                .disableCookieManagement()
                .build();
        client.start();
    }

    /** Sends a request; calls {@code done} once with its response or failure, on a thread of the client. */
    void send(PlannedRequest request, Consumer<CollectedResponse> done) {
        ResponseConsumer consumer = new ResponseConsumer(runNanos);
        Future<CollectedResponse> ignored =
                client.execute(producer(request), consumer, new FutureCallback<CollectedResponse>() {
                    @Override
                    public void completed(CollectedResponse response) {
                        done.accept(response);
                    }

                    @Override
                    public void failed(Exception cause) {
                        done.accept(consumer.response(String.valueOf(cause)));
                    }

                    @Override
                    public void cancelled() {
                        done.accept(consumer.response("cancelled"));
                    }
                });
    }

    private static AsyncRequestProducer producer(PlannedRequest request) {
        URI uri = request.uri();
        AsyncRequestBuilder builder =
                AsyncRequestBuilder.create(request.method()).setUri(uri);
        request.headers().forEach(builder::setHeader);
        if (!request.body().isEmpty()) {
            builder.setEntity(request.body(), ContentType.APPLICATION_JSON);
        }
        return builder.build();
    }

    @Override
    public void close() {
        client.close(CloseMode.GRACEFUL);
    }
}
