package org.hawthornglade.gateway.http;

import static com.google.common.truth.Truth.assertThat;

import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
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
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against refusals of misbehaving clients that an operator cannot see, and against calls that run in spite. */
class RefusedCallersTest {
    private static final int MAX_FIELDS = 16;
    /** Deadlines that only the rate can precede; they are checked each 100 ms. */
    private static final RequestLimits LIMITS = new RequestLimits(2_048, 4_194_304, 300, 1_000_000);

    private static final int POLL_MS = 20;
    private static final int MAX_POLLS = 1_000;

    private final NioEventLoopGroup group = new NioEventLoopGroup(1);
    private final ManualClock clock = new ManualClock(1_000);
    private final ByteArrayOutputStream logBytes = new ByteArrayOutputStream();
    private final Queue<String> causes = new ConcurrentLinkedQueue<>();
    private Socket socket;

    @BeforeEach
    void connect() throws IOException {
        EventLoop loop = group.next();
        EventLog log = new EventLog(clock, new PrintStream(logBytes, true, StandardCharsets.UTF_8));
        CallerServer server = CallerServer.ofCallers(
                new CallerServer.LoopAccess(loop, new Timers(loop, log), clock),
                () -> LIMITS,
                call -> causes.add("call"),
                RequestBodyBudget.ofEntry(clock, BodyPressureListener.NONE),
                new CallerResources(
                        new CallerLimits(0, MAX_FIELDS, 8, 0, 15_000, 1_024, 0), new RecordedPressure(causes)));
        int port = server.listen(new InstanceAddress("127.0.0.1", 0));
        socket = new Socket(InetAddress.getLoopbackAddress(), port);
        socket.setSoTimeout(POLL_MS);
    }

    @AfterEach
    void close() throws IOException {
        socket.close();
        group.shutdownGracefully().awaitUninterruptibly();
    }

    @ParameterizedTest
    @CsvSource({"16, a, fields 431", "1, 3000, head_bytes 431"})
    void tooLongHeadIsRefusedWithItsCause(int fields, String value, String cause) throws IOException {
        String text = value.equals("a") ? value : "x".repeat(Integer.parseInt(value));
        send("GET /x HTTP/1.1\r\nHost: h\r\n" + ("a: " + text + "\r\n").repeat(fields) + "\r\n");
        assertThat(status(0)).isEqualTo(HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE.code());
        assertThat(causes).containsExactly(cause);
    }

    @Test
    void mostFieldsAreRead() throws IOException {
        send("GET /x HTTP/1.1\r\nHost: h\r\n" + "a: a\r\n".repeat(MAX_FIELDS - 1) + "\r\n");
        for (int poll = 0; poll < MAX_POLLS && causes.isEmpty(); poll++) {
            assertThat(readByte()).isEqualTo(-1);
        }
        assertThat(causes).containsExactly("call");
    }

    @ParameterizedTest
    @CsvSource({"Content-Length: 100000", "Transfer-Encoding: chunked"})
    void largeBodyThatStopsIsRefusedAsTooSlow(String framing) throws IOException {
        String chunkSize = framing.startsWith("T") ? Integer.toHexString(100_000) + "\r\n" : "";
        send("POST /x HTTP/1.1\r\nHost: h\r\n" + framing + "\r\n\r\n" + chunkSize + "x".repeat(99_999));
        assertThat(status(1_000)).isEqualTo(HttpResponseStatus.REQUEST_TIMEOUT.code());
        assertThat(causes).containsExactly("body_rate 408");
    }

    private void send(String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
    }

    /** Returns the status of the response, while a time passes on the clock at each poll. */
    private int status(long stepMs) throws IOException {
        StringBuilder text = new StringBuilder();
        for (int poll = 0; poll < MAX_POLLS && text.length() < "HTTP/1.1 408".length(); poll++) {
            int next = readByte();
            if (next < 0) {
                clock.advance(stepMs);
            } else {
                text.append((char) next);
            }
        }
        return Integer.parseInt(text.substring("HTTP/1.1 ".length()));
    }

    /** Returns the next byte, or -1 if none arrives within a poll. */
    private int readByte() throws IOException {
        InputStream in = socket.getInputStream();
        try {
            return in.read();
        } catch (SocketTimeoutException e) {
            return -1;
        }
    }
}
