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
import java.util.Deque;
import java.util.OptionalLong;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ConcurrentLinkedDeque;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;

/** An endpoint that answers each request with the next script and records the requests. */
final class ScriptedEndpoint implements AutoCloseable {
    /** What happens to the connection after the bytes of a script. */
    enum ConnectionAction {
        KEEP_OPEN,
        CLOSE,
        RESET,
        WAIT_FOR_CLOSE,
        /** The bytes are sent when {@link #release} is called. */
        SEND_WHEN_RELEASED,
        /** The connection is closed when {@link #release} is called. */
        CLOSE_WHEN_RELEASED,
        /** The last byte is repeated until the caller closes the connection. */
        REPEAT_LAST_BYTE
    }

    /**
     * A scripted response.
     *
     * @param text the bytes; {@code %ID%} stands for the request's id, {@code %LATE%} for the previous response on the
     *     same connection, or nothing; what follows {@code %PAUSE%} is sent when {@link #release} is called
     * @param connectionAction what happens to the connection afterwards
     */
    record Script(String text, ConnectionAction connectionAction) {}

    /** Stands for a pause in a script. */
    static final String PAUSE = "%PAUSE%";

    /** The time of the first start of an endpoint. */
    static final long FIRST_BORN_MS = 1;

    private static final int PIECE_BYTES = 16_384;

    private final ServerSocket listener;
    private final Deque<Script> scripts = new ConcurrentLinkedDeque<>();
    private final BlockingQueue<String> received = new LinkedBlockingQueue<>();
    private final BlockingQueue<String> closes = new LinkedBlockingQueue<>();
    private final Semaphore released = new Semaphore(0);
    private final Thread acceptor;
    private volatile boolean accepting = true;
    private volatile OptionalLong bornMs = OptionalLong.of(FIRST_BORN_MS);

    ScriptedEndpoint() throws IOException {
        listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        acceptor = start(this::accept);
    }

    private static Thread start(Runnable action) {
        Thread thread = new Thread(action, "scripted-endpoint");
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    int port() {
        return listener.getLocalPort();
    }

    /** Starts again under the same id and address. */
    void startAgain() {
        bornMs = OptionalLong.of(FIRST_BORN_MS + 1);
    }

    /** Does not answer any more when it is asked for its start. */
    void hideStart() {
        bornMs = OptionalLong.empty();
    }

    /** Returns what the endpoint says of its start. */
    OptionalLong bornMs() {
        return bornMs;
    }

    ScriptedEndpoint respond(String text, ConnectionAction action) {
        scripts.add(new Script(text, action));
        return this;
    }

    /** Returns the next received request, head and body. */
    String takeRequest() throws InterruptedException {
        return received.poll(5, TimeUnit.SECONDS);
    }

    int unreadRequests() {
        return received.size();
    }

    /** Waits until the caller has closed a connection. */
    boolean awaitClose() throws InterruptedException {
        return awaitClose(5_000);
    }

    /** Waits until the caller has closed a connection, but no longer than the limit in milliseconds. */
    boolean awaitClose(long limitMs) throws InterruptedException {
        return closes.poll(limitMs, TimeUnit.MILLISECONDS) != null;
    }

    /** Closes the listener, and waits until connections are refused: while a thread accepts, the socket stays open. */
    void refuseConnections() throws InterruptedException {
        close();
        acceptor.join();
    }

    /** Leaves further connections in the queue of the listener. */
    void stopAccepting() {
        accepting = false;
    }

    private void accept() {
        try {
            while (accepting) {
                Socket socket = listener.accept();
                start(() -> serve(socket));
            }
        } catch (IOException e) {
            // The listener was closed: the test has ended.
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            InputStream in = new BufferedInputStream(socket.getInputStream());
            String previous = "";
            while (true) {
                String request = readRequest(in);
                if (request.isEmpty()) {
                    closes.add("closed");
                    return;
                }
                received.add(request);
                Script script = scripts.poll();
                if (script == null) {
                    return;
                }
                String response =
                        script.text().replace("%LATE%", previous).replace("%ID%", header(request, "x-request-id"));
                if (!sendScript(response, script.connectionAction(), socket, in)) {
                    return;
                }
                previous = response;
            }
        } catch (IOException e) {
            closes.add("reset");
        }
    }

    /** Releases one held response. */
    void release() {
        released.release();
    }

    private boolean sendScript(String response, ConnectionAction action, Socket socket, InputStream in)
            throws IOException {
        if (action == ConnectionAction.SEND_WHEN_RELEASED) {
            released.acquireUninterruptibly();
        }
        OutputStream out = socket.getOutputStream();
        sendParts(response, out);
        switch (action) {
            case KEEP_OPEN, SEND_WHEN_RELEASED -> {
                return true;
            }
            case RESET -> socket.setSoLinger(true, 0);
            case REPEAT_LAST_BYTE -> repeatLastByte(response, out);
            case WAIT_FOR_CLOSE -> closes.add(in.read() < 0 ? "closed" : "more");
            case CLOSE_WHEN_RELEASED -> released.acquireUninterruptibly();
            case CLOSE -> {}
        }
        return false;
    }

    private void sendParts(String response, OutputStream out) throws IOException {
        int pauseAt = response.indexOf(PAUSE);
        if (pauseAt >= 0) {
            write(response.substring(0, pauseAt), out);
            released.acquireUninterruptibly();
        }
        write(pauseAt < 0 ? response : response.substring(pauseAt + PAUSE.length()), out);
    }

    private static void write(String text, OutputStream out) throws IOException {
        out.write(text.getBytes(StandardCharsets.ISO_8859_1));
        out.flush();
    }

    private static void repeatLastByte(String response, OutputStream out) throws IOException {
        byte[] piece =
                response.substring(response.length() - 1).repeat(PIECE_BYTES).getBytes(StandardCharsets.ISO_8859_1);
        while (true) {
            out.write(piece);
        }
    }

    static String header(String request, String name) {
        for (String line : request.split("\r\n", -1)) {
            int colon = line.indexOf(':');
            if (colon > 0 && line.substring(0, colon).equalsIgnoreCase(name)) {
                return line.substring(colon + 1).trim();
            }
        }
        return "";
    }

    static String readRequest(InputStream in) throws IOException {
        StringBuilder text = new StringBuilder();
        while (text.indexOf("\r\n\r\n") < 0) {
            int read = in.read();
            if (read < 0) {
                return "";
            }
            text.append((char) read);
        }
        String length = header(text.toString(), "content-length");
        int body = length.isEmpty() ? 0 : Integer.parseInt(length);
        text.append(new String(in.readNBytes(body), StandardCharsets.ISO_8859_1));
        return text.toString();
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
