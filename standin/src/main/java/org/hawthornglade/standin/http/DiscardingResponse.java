package org.hawthornglade.standin.http;

import jakarta.servlet.ServletOutputStream;
import jakarta.servlet.WriteListener;
import jakarta.servlet.http.HttpServletResponse;
import jakarta.servlet.http.HttpServletResponseWrapper;

/** Discards the response body, so that the connection can still be closed without a response. */
final class DiscardingResponse extends HttpServletResponseWrapper {
    DiscardingResponse(HttpServletResponse response) {
        super(response);
    }

    @Override
    public ServletOutputStream getOutputStream() {
        return new ServletOutputStream() {
            @Override
            public boolean isReady() {
                return true;
            }

            @Override
            public void setWriteListener(WriteListener listener) {
                throw new IllegalStateException("asynchronous writes are not supported");
            }

            @Override
            public void write(int ignored) {
                // discarded: the response is to be lost
            }
        };
    }

    @Override
    public void flushBuffer() {
        // nothing may be sent to the client
    }
}
