package org.hawthornglade.standin.http;

import jakarta.servlet.http.HttpServletRequest;
import jakarta.servlet.http.HttpServletResponse;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import org.eclipse.jetty.ee10.servlet.ServletContextRequest;
import org.hawthornglade.ports.http.PlatformHttpClient;

/** Closes connections, marks responses to be lost, and writes responses outside Jersey. */
public final class Connections {
    private static final String LOSE_REPLY = "org.hawthornglade.standin.loseReply";
    private static final long MS_PER_SECOND = 1_000;

    private Connections() {}

    /** Closes the connection of a request without a response. */
    public static void abort(HttpServletRequest request) {
        ServletContextRequest.getServletContextRequest(request)
                .getConnectionMetaData()
                .getConnection()
                .getEndPoint()
                .close();
    }

    static void markReplyLost(HttpServletRequest request) {
        request.setAttribute(LOSE_REPLY, true);
    }

    /** Returns whether the request is to take effect and its connection is then to be closed. */
    public static boolean isReplyLost(HttpServletRequest request) {
        return request.getAttribute(LOSE_REPLY) != null;
    }

    /** Sends a JSON response. */
    public static void sendJson(HttpServletResponse response, int status, String json) throws IOException {
        byte[] body = json.getBytes(StandardCharsets.UTF_8);
        response.setStatus(status);
        response.setContentType("application/json");
        response.setContentLength(body.length);
        response.getOutputStream().write(body);
    }

    /** Sets the retry-after headers, in seconds and in milliseconds. */
    public static void setRetryAfter(HttpServletResponse response, long retryAfterMs) {
        long seconds = Math.max(1, (retryAfterMs + MS_PER_SECOND - 1) / MS_PER_SECOND);
        response.setHeader("Retry-After", Long.toString(seconds));
        response.setHeader(PlatformHttpClient.RETRY_AFTER_MS_HEADER, Long.toString(retryAfterMs));
    }
}
