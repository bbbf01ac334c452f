package org.hawthornglade.gateway.http;

import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.util.List;
import java.util.Optional;

/** Checks request heads, and refuses those that two HTTP parsers could read differently. */
final class RequestValidator {
    private RequestValidator() {}

    /** Returns the status of the refusal, or nothing if the head is valid. */
    static Optional<HttpResponseStatus> fault(HttpRequest request, long maxBodyBytes) {
        if (request.decoderResult().isFailure()) {
            return Optional.of(statusOf(request.decoderResult().cause()));
        }
        if (!request.protocolVersion().equals(HttpVersion.HTTP_1_1)) {
            return Optional.of(HttpResponseStatus.HTTP_VERSION_NOT_SUPPORTED);
        }
        if (request.method().equals(HttpMethod.CONNECT) || !isPlainUri(request.uri())) {
            return Optional.of(HttpResponseStatus.BAD_REQUEST);
        }
        if (request.headers().getAll(HttpHeaderNames.HOST).size() != 1) {
            return Optional.of(HttpResponseStatus.BAD_REQUEST);
        }
        return lengthFault(request, maxBodyBytes);
    }

    private static Optional<HttpResponseStatus> lengthFault(HttpRequest request, long maxBodyBytes) {
        if (request.headers().contains(RequestDecoder.AMBIGUOUS_LENGTH)) {
            return Optional.of(HttpResponseStatus.BAD_REQUEST);
        }
        List<String> encodings = request.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING);
        if (!encodings.isEmpty() && !(encodings.size() == 1 && encodings.get(0).equalsIgnoreCase("chunked"))) {
            return Optional.of(HttpResponseStatus.NOT_IMPLEMENTED);
        }
        String length = request.headers().get(HttpHeaderNames.CONTENT_LENGTH);
        if (length == null) {
            return Optional.empty();
        }
        if (length.isEmpty() || length.length() > 15 || !length.chars().allMatch(c -> c >= '0' && c <= '9')) {
            return Optional.of(HttpResponseStatus.BAD_REQUEST);
        }
        if (Long.parseLong(length) > maxBodyBytes) {
            return Optional.of(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE);
        }
        return Optional.empty();
    }

    private static HttpResponseStatus statusOf(Throwable cause) {
        return cause instanceof TooLongFrameException
                ? HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
                : HttpResponseStatus.BAD_REQUEST;
    }

    private static boolean isPlainUri(String uri) {
        return uri.startsWith("/") && uri.chars().allMatch(c -> c > ' ' && c < 127);
    }
}
