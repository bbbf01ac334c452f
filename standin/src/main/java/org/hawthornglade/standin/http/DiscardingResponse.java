package org.hawthornglade.standin.http;

import jakarta.servlet.ServletOutputStream;
import jakarta.servlet.WriteListener;
import jakarta.servlet.http.HttpServletResponse;
import jakarta.servlet.http.HttpServletResponseWrapper;

/** A response whose body goes nowhere, so that its connection can still be cut without an answer. */
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
                throw new IllegalStateException("not for asynchronous answers");
            }

            @Override
            public void write(int ignored) {
                // the answer is to be lost
            }
        };
    }

    @Override
    public void flushBuffer() {
        // nothing may reach the client
    }
}
