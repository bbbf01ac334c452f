package org.hawthornglade.gateway.exchange;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Random;
import java.util.concurrent.atomic.AtomicInteger;

/** An endpoint that rejects, fails and sends responses once more, by seed, and records its runs. */
final class MisbehavingEndpoint implements AutoCloseable {
    /** How a response is sent once more. */
    private enum Copy {
        WHOLE,
        TWO_PIECES,
        TWICE,
        CUT_HEAD,
        THEN_CLOSE
    }

    /** Which responses are sent once more, just before the response to the next request of the connection. */
    enum Copies {
        NONE(0),
        /** Every copy can be told from the response after it. */
        COMPLETE(3),
        /** Some copies are cut, or end the connection. */
        ANY(5);

        private final int kinds;

        Copies(int kinds) {
            this.kinds = kinds;
        }
    }

    private static final double REJECTED_SHARE = 0.2;
    private static final double FAILED_SHARE = 0.15;
    private static final double COPIED_SHARE = 0.3;
    private static final double EMPTY_SHARE = 0.1;
    private static final int EVENTS = 3;

    private final ServerSocket listener;
    private final RunLog runs;
    private final long seed;
    private final Copies copies;
    private final AtomicInteger connections = new AtomicInteger();

    MisbehavingEndpoint(RunLog runs, long seed, Copies copies) throws IOException {
        this.runs = runs;
        this.seed = seed;
        this.copies = copies;
        listener = new ServerSocket(0, 200, InetAddress.getLoopbackAddress());
        start(this::accept);
    }

    private static void start(Runnable action) {
        Thread thread = new Thread(action, "misbehaving-endpoint");
        thread.setDaemon(true);
        thread.start();
    }

    int port() {
        return listener.getLocalPort();
    }

    private void accept() {
        try {
            while (true) {
                Socket socket = listener.accept();
                Random random = new Random(seed * 1_000_003 + connections.incrementAndGet());
                start(() -> serve(socket, random));
            }
        } catch (IOException e) {
            // The listener was closed: the test has ended.
        }
    }

    private void serve(Socket socket, Random random) {
        try (socket) {
            socket.setTcpNoDelay(true);
            InputStream in = new BufferedInputStream(socket.getInputStream());
            String previous = "";
            while (true) {
                String request = ScriptedEndpoint.readRequest(in);
                if (request.isEmpty()) {
                    return;
                }
                String response = respond(request, random);
                boolean copied = copies != Copies.NONE && !previous.isEmpty() && random.nextDouble() < COPIED_SHARE;
                if (copied && !sendCopy(previous, random, socket.getOutputStream())) {
                    return;
                }
                write(socket.getOutputStream(), response);
                previous = response;
            }
        } catch (IOException e) {
            // The entry has closed the connection: its caller left, or a response was not expected.
        }
    }

    /** Returns whether the connection stays open. */
    private boolean sendCopy(String previous, Random random, OutputStream out) throws IOException {
        Copy copy = Copy.values()[random.nextInt(copies.kinds)];
        int headLength = previous.indexOf("\r\n\r\n") + 4;
        switch (copy) {
            case TWO_PIECES -> {
                int cut = 1 + random.nextInt(previous.length() - 1);
                write(out, previous.substring(0, cut));
                write(out, previous.substring(cut));
            }
            case CUT_HEAD -> write(out, previous.substring(0, 1 + random.nextInt(headLength - 1)));
            case TWICE -> write(out, previous + previous);
            case WHOLE, THEN_CLOSE -> write(out, previous);
        }
        return copy != Copy.THEN_CLOSE;
    }

    private static void write(OutputStream out, String text) throws IOException {
        out.write(text.getBytes(StandardCharsets.ISO_8859_1));
        out.flush();
    }

    private String respond(String request, Random random) {
        String id = ScriptedEndpoint.header(request, "x-request-id");
        double draw = random.nextDouble();
        if (draw < REJECTED_SHARE) {
            return "HTTP/1.1 503 Busy\r\nX-Request-Id: " + id + "\r\nX-Unrun: 1\r\nContent-Length: 0\r\n\r\n";
        }
        boolean failed = draw < REJECTED_SHARE + FAILED_SHARE;
        boolean head = request.startsWith("HEAD ");
        boolean stream = request.contains(" /stream/") || request.contains(" /resumable/");
        if (!failed && !stream && random.nextDouble() < EMPTY_SHARE) {
            String stamp = runs.add(id, 204, each -> "");
            return head(id, stamp, "204 No Content") + "\r\n";
        }
        if (!failed && stream) {
            return eventStream(id);
        }
        int extra = random.nextInt(40);
        String stamp = runs.add(
                id, failed ? 500 : 200, each -> head ? "" : "body of " + each + "\r\n" + "HTTP/1.1 200 ".repeat(extra));
        String body = "body of " + stamp + "\r\n" + "HTTP/1.1 200 ".repeat(extra);
        String start = head(id, stamp, failed ? "500 Failed" : "200 OK");
        if (random.nextBoolean()) {
            return start + "Content-Length: " + body.length() + "\r\n\r\n" + (head ? "" : body);
        }
        return start + "Transfer-Encoding: chunked\r\n\r\n" + (head ? "" : chunk(body) + "0\r\n\r\n");
    }

    private String eventStream(String id) {
        String stamp = runs.add(id, 200, MisbehavingEndpoint::events);
        StringBuilder chunks = new StringBuilder();
        for (int i = 1; i <= EVENTS; i++) {
            chunks.append(chunk(event(stamp, i)));
        }
        return head(id, stamp, "200 OK") + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
                + chunks + "0\r\n\r\n";
    }

    private static String events(String stamp) {
        StringBuilder text = new StringBuilder();
        for (int i = 1; i <= EVENTS; i++) {
            text.append(event(stamp, i));
        }
        return text.toString();
    }

    private static String event(String stamp, int number) {
        return "id: " + number + "\ndata: " + stamp + "\n\n";
    }

    private static String chunk(String text) {
        return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
    }

    /** The order of the headers changes, so that a cut may lie before or after each of them. */
    private static String head(String id, String stamp, String status) {
        String idHeader = "X-Request-Id: " + id + "\r\n";
        String stampHeader = "X-Signature: " + stamp + "\r\n";
        boolean idFirst = stamp.hashCode() % 2 == 0;
        return "HTTP/1.1 " + status + "\r\n" + (idFirst ? idHeader + stampHeader : stampHeader + idHeader);
    }

    @Override
    public void close() {
        try {
            listener.close();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
