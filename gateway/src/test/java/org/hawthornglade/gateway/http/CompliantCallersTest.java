package org.hawthornglade.gateway.http;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import org.hawthornglade.core.fleet.InstanceAddress;
import org.hawthornglade.core.serving.RequestLimits;
import org.hawthornglade.core.time.ManualClock;
import org.hawthornglade.gateway.log.EventLog;
import org.hawthornglade.gateway.loop.Timers;
import org.hawthornglade.gateway.memory.BodyPressureListener;
import org.hawthornglade.gateway.memory.RequestBodyBudget;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against default limits that refuse or close a caller which keeps to the request limits. */
class CompliantCallersTest {
    private static final RequestLimits LIMITS = RequestLimits.DEFAULT;
    private static final int READ_TIMEOUT_MS = 10_000;

    private final NioEventLoopGroup group = new NioEventLoopGroup(1);
    private final ManualClock clock = new ManualClock(1_000);
    private final Queue<String> closed = new ConcurrentLinkedQueue<>();
    private Socket socket;

    @BeforeEach
    void connect() throws IOException {
        EventLoop loop = group.next();
        EventLog log = new EventLog(clock, new PrintStream(new ByteArrayOutputStream(), true, StandardCharsets.UTF_8));
        CallerServer server = CallerServer.ofCallers(
                new CallerServer.LoopAccess(loop, new Timers(loop, log), clock),
                () -> LIMITS,
                CompliantCallersTest::respondWithLength,
                RequestBodyBudget.ofEntry(clock, BodyPressureListener.NONE),
                new CallerResources(CallerLimits.DEFAULT, new RecordedPressure(closed)));
        int port = server.listen(new InstanceAddress("127.0.0.1", 0));
        socket = new Socket(InetAddress.getLoopbackAddress(), port);
        socket.setSoTimeout(READ_TIMEOUT_MS);
    }

    @AfterEach
    void close() throws IOException {
        socket.close();
        group.shutdownGracefully().awaitUninterruptibly();
        assertThat(closed).isEmpty();
    }

    private static void respondWithLength(IncomingCall call) {
        String text = "bytes=" + call.body().readableBytes() + " fields="
                + call.head().headers().size() + ";";
        call.response()
                .send(
                        HttpResponseStatus.OK,
                        new DefaultHttpHeaders(),
                        Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII));
    }

    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void largestBodyIsRead(boolean chunked) throws IOException {
        String body = "x".repeat(LIMITS.maxBodyBytes());
        send(head(chunked ? "Transfer-Encoding: chunked\r\n" : "Content-Length: " + body.length() + "\r\n"));
        send(chunked ? Integer.toHexString(body.length()) + "\r\n" + body + "\r\n0\r\n\r\n" : body);
        assertThat(response()).contains("bytes=" + LIMITS.maxBodyBytes() + " ");
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 100, 500, 3_200})
    void largestHeadIsRead(int fields) throws IOException {
        int lineBytes = (LIMITS.maxHeaderBytes() - 200) / fields;
        String line = "a: " + "x".repeat(lineBytes - 5) + "\r\n";
        send(head(line.repeat(fields)));
        assertThat(response()).contains("fields=" + (fields + 1) + ";");
    }

    @Test
    void slowestHeadIsRead() throws IOException {
        String head = head("");
        for (int i = 0; i < head.length(); i++) {
            send(head.substring(i, i + 1));
            clock.advance(i == 0 ? LIMITS.headerTimeoutMs() - head.length() : 1);
        }
        assertThat(response()).contains("200 OK");
    }

    /** The largest body takes the whole time that a request may take. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void slowestBodyIsRead(boolean chunked) throws IOException {
        int pieces = 100;
        String piece = "x".repeat(LIMITS.maxBodyBytes() / pieces);
        String length = "Content-Length: " + piece.length() * pieces + "\r\n";
        send(head(chunked ? "Transfer-Encoding: chunked\r\n" : length));
        for (int i = 0; i < pieces; i++) {
            clock.advance(LIMITS.idleTimeoutMs() / pieces);
            send(chunked ? Integer.toHexString(piece.length()) + "\r\n" + piece + "\r\n" : piece);
        }
        send(chunked ? "0\r\n\r\n" : "");
        assertThat(response()).contains("bytes=" + piece.length() * pieces + " ");
    }

    @Test
    void connectionIsReusedAfterFourFifthsOfTheIdleLimit() throws IOException {
        for (int i = 0; i < 3; i++) {
            send(head(""));
            assertThat(response()).contains("200 OK");
            clock.advance(LIMITS.idleTimeoutMs() * 4 / 5);
        }
    }

    /** Guards against bytes that are held undecoded and never decoded. */
    @Test
    void allPipelinedRequestsGetTheirResponsesInOrder() throws IOException {
        int requests = 2_000;
        StringBuilder text = new StringBuilder();
        for (int i = 0; i < requests; i++) {
            text.append("POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: ")
                    .append(i)
                    .append("\r\n\r\n")
                    .append("x".repeat(i));
        }
        Thread sender = new Thread(() -> {
            try {
                send(text.toString());
            } catch (IOException e) {
                // The responses that follow are missing then.
            }
        });
        sender.start();
        for (int i = 0; i < requests; i++) {
            assertWithMessage("response %s", i).that(response()).contains("bytes=" + i + " ");
        }
    }

    private static String head(String fields) {
        return "POST /x HTTP/1.1\r\nHost: h\r\n" + fields + "\r\n";
    }

    private void send(String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
    }

    /** Reads one response, whose text ends with a semicolon. */
    private String response() throws IOException {
        StringBuilder text = new StringBuilder();
        int next = socket.getInputStream().read();
        while (next >= 0 && next != ';') {
            text.append((char) next);
            next = socket.getInputStream().read();
        }
        return text.append(';').toString();
    }
}
