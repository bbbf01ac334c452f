package org.hawthornglade.gateway.http;

import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseEncoder;
import java.util.Optional;
import java.util.function.Supplier;

/** Encodes the responses on a caller's connection; those without a body by RFC 9110 are sent without one. */
final class ResponseEncoder extends HttpResponseEncoder {
    private final Supplier<Optional<HttpMethod>> method;

    /**
     * Creates an encoder.
     *
     * @param method returns the method of the request that is being answered
     */
    ResponseEncoder(Supplier<Optional<HttpMethod>> method) {
        this.method = method;
    }

    @Override
    protected boolean isContentAlwaysEmpty(HttpResponse response) {
        return super.isContentAlwaysEmpty(response)
                || method.get().filter(HttpMethod.HEAD::equals).isPresent();
    }
}
