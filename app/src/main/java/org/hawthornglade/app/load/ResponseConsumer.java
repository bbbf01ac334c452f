package org.hawthornglade.app.load;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.function.LongSupplier;
import org.apache.hc.client5.http.async.methods.AbstractBinResponseConsumer;
import org.apache.hc.core5.http.ContentType;
import org.apache.hc.core5.http.HttpResponse;

/** Collects one response asynchronously, without blocking a thread. */
final class ResponseConsumer extends AbstractBinResponseConsumer<CollectedResponse> {
    private static final int INCREMENT_BYTES = 64 * 1024;

    private final LongSupplier runNanos;
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    private volatile int status;
    private volatile long firstByteNanos;

    ResponseConsumer(LongSupplier runNanos) {
        this.runNanos = runNanos;
    }

    @Override
    protected void start(HttpResponse response, ContentType contentType) {
        status = response.getCode();
    }

    @Override
    protected int capacityIncrement() {
        return INCREMENT_BYTES;
    }

    @Override
    protected void data(ByteBuffer src, boolean endOfStream) {
        if (src.hasRemaining() && firstByteNanos == 0) {
            firstByteNanos = runNanos.getAsLong();
        }
        byte[] bytes = new byte[src.remaining()];
        src.get(bytes);
        body.write(bytes, 0, bytes.length);
    }

    @Override
    protected CollectedResponse buildResult() {
        return response(null);
    }

    CollectedResponse response(String failure) {
        return new CollectedResponse(
                status, body.toString(StandardCharsets.UTF_8), firstByteNanos, runNanos.getAsLong(), failure);
    }

    @Override
    public void informationResponse(HttpResponse response, org.apache.hc.core5.http.protocol.HttpContext context) {
        // Informational responses are not recorded.
    }

    @Override
    public void releaseResources() {
        // There are no resources to release.
    }
}
