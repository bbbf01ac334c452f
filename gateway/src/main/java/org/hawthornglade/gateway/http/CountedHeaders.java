package org.hawthornglade.gateway.http;

import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpHeadersFactory;

/** Headers of a request that is being decoded; a field over the limit makes the request invalid. */
final class CountedHeaders extends DefaultHttpHeaders {
    /** A request has more header fields than it may. */
    static final class TooManyFieldsException extends TooLongFrameException {
        private static final long serialVersionUID = 1L;

        private TooManyFieldsException(int maxFields) {
            super("more than " + maxFields + " header fields");
        }
    }

    private final int maxFields;

    private CountedHeaders(int maxFields) {
        super(
                DefaultHttpHeadersFactory.headersFactory().getNameValidator(),
                DefaultHttpHeadersFactory.headersFactory().getValueValidator());
        this.maxFields = maxFields;
    }

    /** Creates headers for a decoder. */
    static HttpHeadersFactory factory(int maxFields) {
        return new HttpHeadersFactory() {
            @Override
            public HttpHeaders newHeaders() {
                return new CountedHeaders(maxFields);
            }

            @Override
            public HttpHeaders newEmptyHeaders() {
                return new CountedHeaders(maxFields);
            }
        };
    }

    @Override
    public HttpHeaders add(CharSequence name, Object value) {
        requireRoom();
        return super.add(name, value);
    }

    @Override
    public HttpHeaders add(String name, Object value) {
        requireRoom();
        return super.add(name, value);
    }

    private void requireRoom() {
        if (size() >= maxFields) {
            throw new TooManyFieldsException(maxFields);
        }
    }
}
