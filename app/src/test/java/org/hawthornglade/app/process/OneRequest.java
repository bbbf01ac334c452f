package org.hawthornglade.app.process;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import org.hawthornglade.platform.standin.StandinPlatform;

/** Requests on a connection of their own, which is closed after the response and so leaves nothing open. */
final class OneRequest {
    private static final int READ_TIMEOUT_MS = 15_000;

    private OneRequest() {}

    /**
     * A response.
     *
     * @param status the status code
     * @param text all that was received, from the status line
     */
    record Response(int status, String text) {}

    static Response get(int port, String path) throws IOException {
        return send(port, "GET " + path + " HTTP/1.1\r\nHost: 127.0.0.1\r\nConnection: close\r\n\r\n");
    }

    /** Posts to a plain server. */
    static Response post(int port, String path) throws IOException {
        StringBuilder request = new StringBuilder("POST " + path + " HTTP/1.1\r\nHost: 127.0.0.1\r\n");
        String[] headers = StandinPlatform.requestHeaders("ordinary", "none");
        for (int i = 0; i < headers.length; i += 2) {
            request.append(headers[i]).append(": ").append(headers[i + 1]).append("\r\n");
        }
        return send(port, request + "Content-Length: 2\r\nConnection: close\r\n\r\n{}");
    }

    private static Response send(int port, String request) throws IOException {
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
            socket.setSoTimeout(READ_TIMEOUT_MS);
            socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
            InputStream input = socket.getInputStream();
            String text = new String(input.readAllBytes(), StandardCharsets.US_ASCII);
            if (!text.startsWith("HTTP/1.1 ")) {
                throw new IOException("no response: " + text);
            }
            return new Response(Integer.parseInt(text.substring(9, 12)), text);
        }
    }
}
