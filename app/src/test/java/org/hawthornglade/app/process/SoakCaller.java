package org.hawthornglade.app.process;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.Random;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.hawthornglade.core.time.Clock;
import org.hawthornglade.platform.standin.StandinPlatform;

/** Makes calls one after another at random entries, and uses an open connection for as long as it is open. */
final class SoakCaller implements Runnable {
    private static final List<SoakKind> KINDS = List.of(SoakKind.values());
    private static final int READ_TIMEOUT_MS = 30_000;
    private static final int STALE_CHECK_MS = 1;
    private static final int CONNECT_TIMEOUT_MS = 1_000;
    private static final int MAX_PAUSE_MS = 60;
    private static final int SMALL_RECEIVE_BUFFER_BYTES = 16_384;
    private static final int READ_BYTES = 8_192;

    private final Clock clock;
    private final GatewayDeployment deployment;
    private final int entries;
    private final String name;
    private final Random random;
    private final List<SoakRequest> requests = new CopyOnWriteArrayList<>();
    private volatile boolean ending;
    private Socket socket;
    private InputStream input;
    private int entry;

    SoakCaller(Clock clock, GatewayDeployment deployment, int entries, String name, long seed) {
        this.clock = clock;
        this.deployment = deployment;
        this.entries = entries;
        this.name = name;
        this.random = new Random(seed);
    }

    List<SoakRequest> requests() {
        return requests;
    }

    /** Ends after the request that is open. */
    void end() {
        ending = true;
    }

    @Override
    public void run() {
        for (int number = 0; !ending; number++) {
            pause(random.nextInt(MAX_PAUSE_MS));
            SoakKind kind = KINDS.get(random.nextInt(KINDS.size()));
            if (kind.readMs > 0) {
                disconnect();
            }
            if ((socket == null || hasEnded()) && !connect(kind)) {
                continue;
            }
            SoakRequest request = new SoakRequest(name + "-" + number, kind, entry);
            requests.add(request);
            if (!call(request) || kind.readMs > 0) {
                disconnect();
            }
        }
        disconnect();
    }

    /** Returns whether the entry has closed the connection, as a caller checks before it uses it again. */
    private boolean hasEnded() {
        try {
            socket.setSoTimeout(STALE_CHECK_MS);
            boolean ended = !isSilent();
            socket.setSoTimeout(READ_TIMEOUT_MS);
            return ended;
        } catch (IOException e) {
            return true;
        }
    }

    /** Returns whether nothing arrives, not even the end of the connection. */
    private boolean isSilent() throws IOException {
        try {
            input.read();
            return false;
        } catch (SocketTimeoutException e) {
            return true;
        }
    }

    private boolean connect(SoakKind kind) {
        disconnect();
        entry = random.nextInt(entries);
        Socket opened = new Socket();
        try {
            if (kind.readMs > 0) {
                opened.setReceiveBufferSize(SMALL_RECEIVE_BUFFER_BYTES);
            }
            opened.connect(
                    new InetSocketAddress(InetAddress.getLoopbackAddress(), deployment.port(entry)),
                    CONNECT_TIMEOUT_MS);
            opened.setTcpNoDelay(true);
            opened.setSoTimeout(READ_TIMEOUT_MS);
            input = new BufferedInputStream(opened.getInputStream());
            socket = opened;
            return true;
        } catch (IOException e) {
            close(opened);
            return false;
        }
    }

    /** Makes one call; returns whether the connection can be used again. */
    private boolean call(SoakRequest request) {
        try {
            send(request);
            return receive(request);
        } catch (IOException e) {
            return false;
        } finally {
            request.endedMs = clock.nowMs();
        }
    }

    private void send(SoakRequest request) throws IOException {
        SoakKind kind = request.kind;
        boolean chunked = random.nextBoolean();
        StringBuilder head = new StringBuilder("POST " + kind.path + " HTTP/1.1\r\nHost: 127.0.0.1\r\n");
        int workMs = 1 + random.nextInt(kind.workMs);
        String[] headers = StandinPlatform.requestHeaders(request.id, "m1", workMs, kind.responseBytes);
        for (int i = 0; i < headers.length; i += 2) {
            head.append(headers[i]).append(": ").append(headers[i + 1]).append("\r\n");
        }
        head.append(chunked ? "Transfer-Encoding: chunked" : "Content-Length: " + kind.bodyBytes)
                .append("\r\n\r\n");
        request.startedMs = clock.nowMs();
        write(head.toString());
        String piece = "b".repeat(kind.bodyBytes / kind.pieces);
        for (int i = 0; i < kind.pieces; i++) {
            if (i > 0 || kind.pieces > 1) {
                pause(random.nextInt(kind.pieceGapMs + 1));
            }
            write(chunked ? Integer.toHexString(piece.length()) + "\r\n" + piece + "\r\n" : piece);
        }
        if (chunked) {
            write("0\r\n\r\n");
        }
        request.sentMs = clock.nowMs();
    }

    private void write(String text) throws IOException {
        if (input.available() > 0) {
            // The response is there before the request is complete: its rest need not be sent.
            return;
        }
        socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
    }

    private boolean receive(SoakRequest request) throws IOException {
        String statusLine = readLine();
        request.status = Integer.parseInt(statusLine.substring(9, 12));
        long lengthBytes = 0;
        boolean chunked = false;
        boolean closes = false;
        for (String line = readLine(); !line.isEmpty(); line = readLine()) {
            String field = line.toLowerCase(Locale.ROOT);
            if (field.startsWith("content-length:")) {
                lengthBytes = Long.parseLong(field.substring(15).trim());
            }
            chunked |= field.equals("transfer-encoding: chunked");
            closes |= field.equals("connection: close");
        }
        if (chunked) {
            for (int size = chunkSize(); size > 0; size = chunkSize()) {
                skip(size + 2L, 0);
            }
            readLine();
        } else {
            skip(lengthBytes, request.kind.readMs);
        }
        request.whole = true;
        return !closes && request.sentMs > 0;
    }

    private int chunkSize() throws IOException {
        return Integer.parseInt(readLine(), 16);
    }

    /** Reads bytes over a time. */
    private void skip(long bytes, long overMs) throws IOException {
        long startMs = clock.nowMs();
        byte[] buffer = new byte[READ_BYTES];
        long left = bytes;
        while (left > 0) {
            int read = input.read(buffer, 0, (int) Math.min(buffer.length, left));
            if (read < 0) {
                throw new EOFException("the connection ended in a response");
            }
            left -= read;
            long dueMs = startMs + overMs * (bytes - left) / bytes;
            pause(dueMs - clock.nowMs());
        }
    }

    private String readLine() throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int value = input.read(); value != '\n'; value = input.read()) {
            if (value < 0) {
                throw new EOFException("the connection ended in a head");
            }
            line.write(value);
        }
        return line.toString(StandardCharsets.US_ASCII).stripTrailing();
    }

    private void disconnect() {
        if (socket != null) {
            close(socket);
            socket = null;
        }
    }

    private static void close(Socket socket) {
        try {
            socket.close();
        } catch (IOException e) {
            // The connection has ended already.
        }
    }

    private static void pause(long ms) {
        if (ms > 0) {
            LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(ms));
        }
    }
}
