package org.hawthornglade.gateway.exchange;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.hawthornglade.core.result.ResultCode;
import org.hawthornglade.core.serving.RequestLimits;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against large bodies that stay in memory, or block other calls, because an endpoint does not read them. */
class SlowReadingEndpointTest {
    private static final int CALLERS = 6;
    private static final int BODY_BYTES = 4_194_304;
    private static final int RECEIVE_BUFFER_BYTES = 4_096;
    private static final RequestLimits LIMITS = new RequestLimits(2_048, BODY_BYTES, 3_000, 15_000);
    private static final int TIMEOUT_MS = 10_000;

    private final List<Socket> callers = new ArrayList<>();
    private final BlockingQueue<Socket> accepted = new LinkedBlockingQueue<>();
    private ServerSocket endpoint;
    private TestEntry entry;

    @BeforeEach
    void start() throws IOException {
        endpoint = new ServerSocket();
        endpoint.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
        endpoint.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
        entry = TestEntry.ofPort(endpoint.getLocalPort(), LIMITS);
    }

    @AfterEach
    void stop() throws IOException {
        for (Socket socket : callers) {
            socket.close();
        }
        for (Socket socket : accepted) {
            socket.close();
        }
        endpoint.close();
        entry.close();
    }

    private void accept(int readBytes) {
        try {
            while (true) {
                Socket socket = endpoint.accept();
                socket.setSoTimeout(TIMEOUT_MS);
                socket.getInputStream().readNBytes(readBytes);
                accepted.add(socket);
            }
        } catch (IOException e) {
            // The listener was closed: the test has ended.
        }
    }

    @ParameterizedTest
    @ValueSource(ints = {0, 100_000})
    void callsEndAtTheirDeadlineAndReleaseTheirBodies(int readBytes) throws Exception {
        Thread acceptor = new Thread(() -> accept(readBytes), "slow-endpoint");
        acceptor.setDaemon(true);
        acceptor.start();
        String body = "x".repeat(BODY_BYTES);
        List<CompletableFuture<String>> responses = new ArrayList<>();
        for (int i = 0; i < CALLERS; i++) {
            Socket socket = entry.connect();
            socket.setSoTimeout(TIMEOUT_MS);
            callers.add(socket);
            String request = TestEntry.post("/unsafe/x", "r-" + i, body);
            responses.add(CompletableFuture.supplyAsync(() -> exchange(socket, request)));
        }
        Socket first = accepted.poll(TIMEOUT_MS, TimeUnit.MILLISECONDS);
        assertThat(entry.call("/none/x")).contains("HTTP/1.1 404");
        for (CompletableFuture<String> response : responses) {
            String text = response.get(2 * TIMEOUT_MS, TimeUnit.MILLISECONDS);
            assertWithMessage(text).that(text).contains("HTTP/1.1 504");
            assertThat(text).contains("\"code\":" + ResultCode.DEADLINE_PASSED_RUNNING.number());
        }
        assertThat(entry.bodyBytes()).isEqualTo(0);
        assertWithMessage("bytes read from a connection that the entry has closed")
                .that(readToEnd(first))
                .isLessThan(BODY_BYTES);
        accepted.add(first);
    }

    private static String exchange(Socket socket, String request) {
        try {
            TestEntry.send(socket, request);
            return TestEntry.read(socket, "}");
        } catch (IOException e) {
            return e.toString();
        }
    }

    /** Reads to the end of a connection, which may be reset, and returns the number of bytes. */
    private static int readToEnd(Socket socket) throws IOException {
        InputStream in = socket.getInputStream();
        byte[] piece = new byte[RECEIVE_BUFFER_BYTES];
        int bytes = 0;
        try {
            for (int read = in.read(piece); read >= 0; read = in.read(piece)) {
                bytes += read;
            }
        } catch (SocketException e) {
            return bytes;
        }
        return bytes;
    }
}
