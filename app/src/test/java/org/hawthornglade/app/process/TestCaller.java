package org.hawthornglade.app.process;

import java.io.IOException;
import java.io.InputStream;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** A caller for tests; each call uses a separate connection and thread. */
final class TestCaller implements AutoCloseable {
    static final String KEY = "caller-key-of-the-tests";

    /** A call in flight and the number of response bytes received so far. */
    record Call(CompletableFuture<CallResult> result, AtomicInteger receivedBytes) {
        CallResult join() {
            return result.orTimeout(RESULT_TIMEOUT_S, TimeUnit.SECONDS).join();
        }
    }

    private static final int RESULT_TIMEOUT_S = 90;
    private static final int BUFFER_BYTES = 8 * 1024;

    private final ExecutorService threads = Executors.newCachedThreadPool();

    /** Sends a chat request for a streamed response. */
    Call chat(URI entry, String model, String prompt, int tokens, long deadlineMs) {
        String body = "{\"model\":\"" + model + "\",\"stream\":true,\"max_tokens\":" + tokens
                + ",\"messages\":[{\"role\":\"user\",\"content\":\"" + prompt + "\"}]}";
        return send(request(entry + "/v1/chat/completions", deadlineMs), body);
    }

    /** Calls the plain service for an order confirmation. */
    Call order(URI entry, String key, String body, long deadlineMs) {
        return send(
                request(entry + "/services/orders/confirmations", deadlineMs).header("Idempotency-Key", key), body);
    }

    private static HttpRequest.Builder request(String uri, long deadlineMs) {
        return HttpRequest.newBuilder(URI.create(uri))
                .header("Authorization", "Bearer " + KEY)
                .header("Content-Type", "application/json")
                .header("X-Deadline-Ms", Long.toString(deadlineMs));
    }

    private Call send(HttpRequest.Builder request, String body) {
        AtomicInteger received = new AtomicInteger();
        HttpRequest built =
                request.POST(HttpRequest.BodyPublishers.ofString(body)).build();
        return new Call(CompletableFuture.supplyAsync(() -> exchange(built, received), threads), received);
    }

    private static CallResult exchange(HttpRequest request, AtomicInteger received) {
        long startNanos = System.nanoTime();
        StringBuilder body = new StringBuilder();
        int status = 0;
        boolean broken = false;
        try {
            HttpResponse<InputStream> response = HttpClient.newBuilder()
                    .version(HttpClient.Version.HTTP_1_1)
                    .build()
                    .send(request, HttpResponse.BodyHandlers.ofInputStream());
            status = response.statusCode();
            byte[] buffer = new byte[BUFFER_BYTES];
            InputStream in = response.body();
            for (int read = in.read(buffer); read >= 0; read = in.read(buffer)) {
                body.append(new String(buffer, 0, read, StandardCharsets.US_ASCII));
                received.addAndGet(read);
            }
        } catch (IOException | InterruptedException e) {
            broken = true;
        }
        long tookMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
        return new CallResult(status, body.toString(), broken, tookMs);
    }

    @Override
    public void close() {
        threads.shutdownNow();
    }
}
