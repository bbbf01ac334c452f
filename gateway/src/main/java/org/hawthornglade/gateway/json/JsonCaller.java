package org.hawthornglade.gateway.json;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.MissingNode;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufInputStream;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.vavr.control.Either;
import java.io.IOException;
import java.io.InputStream;
import java.util.Optional;
import java.util.function.Consumer;
import org.hawthornglade.core.fleet.InstanceAddress;
import org.hawthornglade.gateway.http.ConnectionPool;
import org.hawthornglade.gateway.http.ExpectedResponseId;
import org.hawthornglade.gateway.http.OutboundConnection;
import org.hawthornglade.gateway.http.OutboundFailure;
import org.hawthornglade.gateway.http.OutboundRequest;
import org.hawthornglade.gateway.http.ResponseListener;
import org.hawthornglade.gateway.loop.Timers;
import org.hawthornglade.gateway.memory.ResponseLimit;

/** Makes JSON calls to one address, and bounds what their responses may hold in memory. */
public final class JsonCaller {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final Timers timers;
    private final InstanceAddress address;
    private final ConnectionPool pool;
    private final ResponseLimit limit;
    private final Optional<ExpectedResponseId> responseId;

    /**
     * Creates a caller on a connection pool.
     *
     * @param responseId the id that responses must carry; empty if they are matched by their order alone
     */
    public JsonCaller(
            Timers timers,
            InstanceAddress address,
            ConnectionPool pool,
            ResponseLimit limit,
            Optional<ExpectedResponseId> responseId) {
        this.responseId = responseId;
        this.limit = limit;
        this.timers = timers;
        this.address = address;
        this.pool = pool;
    }

    /** Makes a call without a body. */
    public void get(
            String uri, HttpHeaders headers, long timeoutMs, Consumer<Either<OutboundFailure, JsonReply>> done) {
        call(HttpMethod.GET, uri, headers, Unpooled.EMPTY_BUFFER, timeoutMs, done);
    }

    /** Makes a call with a JSON body. */
    public void post(
            String uri,
            HttpHeaders headers,
            JsonNode body,
            long timeoutMs,
            Consumer<Either<OutboundFailure, JsonReply>> done) {
        headers.set(HttpHeaderNames.CONTENT_TYPE, "application/json");
        ByteBuf bytes = Unpooled.wrappedBuffer(bytes(body));
        call(HttpMethod.POST, uri, headers, bytes, timeoutMs, done);
    }

    private static byte[] bytes(JsonNode body) {
        try {
            return MAPPER.writeValueAsBytes(body);
        } catch (IOException e) {
            throw new IllegalStateException("cannot serialise a JSON tree", e);
        }
    }

    private void call(
            HttpMethod method,
            String uri,
            HttpHeaders headers,
            ByteBuf body,
            long timeoutMs,
            Consumer<Either<OutboundFailure, JsonReply>> done) {
        headers.set(HttpHeaderNames.HOST, address.toString());
        OutboundRequest request = new OutboundRequest(method, uri, headers, body, responseId);
        pool.acquire(
                false,
                pooled -> true,
                connection -> new PendingCall(connection, done).start(request, timeoutMs),
                cause -> {
                    body.release();
                    done.accept(Either.left(OutboundFailure.NOT_CONNECTED));
                });
    }

    /** A call in flight. */
    private final class PendingCall implements ResponseListener {
        private final OutboundConnection connection;
        private final Consumer<Either<OutboundFailure, JsonReply>> done;
        private final ByteBuf body = Unpooled.buffer();
        private Timers.Timeout timeout;
        private int status;
        private int reservedBytes;
        private HttpHeaders headers = EmptyHttpHeaders.INSTANCE;
        private boolean finished;

        PendingCall(OutboundConnection connection, Consumer<Either<OutboundFailure, JsonReply>> done) {
            this.connection = connection;
            this.done = done;
        }

        void start(OutboundRequest request, long timeoutMs) {
            timeout = timers.after(timeoutMs, this::onTimeout);
            connection.send(request, this);
        }

        private void onTimeout() {
            connection.cancel();
            onFailure(OutboundFailure.TIMED_OUT);
        }

        @Override
        public void onHead(HttpResponse head) {
            status = head.status().code();
            headers = head.headers();
        }

        @Override
        public void onContent(ByteBuf content) {
            if (finished) {
                return;
            }
            int bytes = content.readableBytes();
            boolean tooLarge = body.readableBytes() + bytes > limit.maxBytes();
            if (tooLarge || !limit.share().tryReserve(bytes)) {
                connection.cancel();
                onFailure(OutboundFailure.ENDLESS);
                return;
            }
            reservedBytes += bytes;
            body.writeBytes(content);
        }

        @Override
        public void onEnd() {
            if (finished) {
                return;
            }
            finish();
            try (InputStream in = new ByteBufInputStream(body)) {
                JsonNode json = body.isReadable() ? StrictJson.parse(in) : MissingNode.getInstance();
                done.accept(Either.right(new JsonReply(status, headers, json)));
            } catch (IOException e) {
                done.accept(
                        status == 200
                                ? Either.left(OutboundFailure.MALFORMED)
                                : Either.right(new JsonReply(status, headers, MissingNode.getInstance())));
            }
        }

        @Override
        public void onFailure(OutboundFailure failure) {
            if (finished) {
                return;
            }
            finish();
            done.accept(Either.left(failure));
        }

        private void finish() {
            finished = true;
            timeout.cancel();
            limit.share().release(reservedBytes);
            reservedBytes = 0;
        }
    }
}
