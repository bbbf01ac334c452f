package org.hawthornglade.gateway.exchange;

import com.google.common.hash.Hasher;
import com.google.common.hash.Hashing;
import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpRequest;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Optional;
import org.hawthornglade.core.id.RequestDigest;
import org.hawthornglade.gateway.http.IncomingCall;

/**
 * Computes the digest of a request from its method, host, path with query, and body.
 *
 * <p>No header names the caller, and the others differ from try to try. The hash is cryptographic, so that no caller
 * can find a request with the digest of another one's.
 */
final class RequestDigester {
    /** Characters of the digest; enough that no two requests of a deployment share one by chance. */
    private static final int LENGTH = 24;

    private RequestDigester() {}

    /** Returns the digest, unless the body has been released because the call has ended. */
    static Optional<RequestDigest> digest(IncomingCall call) {
        if (call.body().refCnt() == 0) {
            return Optional.empty();
        }
        HttpRequest head = call.head();
        Hasher hasher = Hashing.sha256().newHasher();
        put(hasher, head.method().name());
        put(hasher, head.headers().get(HttpHeaderNames.HOST, "").toLowerCase(Locale.ROOT));
        put(hasher, head.uri());
        ByteBuf body = call.body();
        for (ByteBuffer piece : body.nioBuffers()) {
            hasher.putBytes(piece);
        }
        return Optional.of(new RequestDigest(hasher.hash().toString().substring(0, LENGTH)));
    }

    /** Adds a text with its length, so that no two lists of texts are the same bytes. */
    private static void put(Hasher hasher, String text) {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        hasher.putInt(bytes.length).putBytes(bytes);
    }
}
