package org.hawthornglade.standin.http;

import jakarta.servlet.http.HttpServletRequest;
import jakarta.servlet.http.HttpServletResponse;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import org.eclipse.jetty.ee10.servlet.ServletContextRequest;
import org.hawthornglade.ports.http.PlatformHttpClient;

/** What the stand-ins do to connections beside answering. */
public final class Connections {
    private static final String LOSE_REPLY = "org.hawthornglade.standin.loseReply";
    private static final long MS_PER_SECOND = 1_000;

    private Connections() {}

    /** Closes the connection of a request without an answer. */
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

    /** Returns whether the request is to take effect and its connection to be cut then. */
    public static boolean isReplyLost(HttpServletRequest request) {
        return request.getAttribute(LOSE_REPLY) != null;
    }

    /** Answers with JSON. */
    public static void sendJson(HttpServletResponse response, int status, String json) throws IOException {
        byte[] body = json.getBytes(StandardCharsets.UTF_8);
        response.setStatus(status);
        response.setContentType("application/json");
        response.setContentLength(body.length);
        response.getOutputStream().write(body);
    }

    /** Names the time to come back in seconds and in milliseconds. */
    public static void setRetryAfter(HttpServletResponse response, long retryAfterMs) {
        long seconds = Math.max(1, (retryAfterMs + MS_PER_SECOND - 1) / MS_PER_SECOND);
        response.setHeader("Retry-After", Long.toString(seconds));
        response.setHeader(PlatformHttpClient.RETRY_AFTER_MS_HEADER, Long.toString(retryAfterMs));
    }
}
