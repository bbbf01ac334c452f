package org.hawthornglade.gateway.http;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.zip.CRC32C;

/** Digests a body and its trailers, so that a copy of a response can be compared with the response. */
final class BodyDigest {
    private final CRC32C checksum = new CRC32C();
    private long lengthBytes;

    /** The digest of a complete body. */
    record Value(long lengthBytes, long checksum) {}

    /** Adds a part of the body. */
    void add(ByteBuf part) {
        lengthBytes += part.readableBytes();
        checksum.update(part.nioBuffer());
    }

    /** Adds the headers after the body. */
    void addTrailers(HttpHeaders trailers) {
        for (Map.Entry<String, String> trailer : trailers) {
            checksum.update(trailer.toString().getBytes(StandardCharsets.UTF_8));
        }
    }

    Value value() {
        return new Value(lengthBytes, checksum.getValue());
    }
}
