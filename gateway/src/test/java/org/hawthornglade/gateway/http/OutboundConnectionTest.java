package org.hawthornglade.gateway.http;

import static com.google.common.truth.Truth.assertThat;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.hawthornglade.core.fleet.InstanceAddress;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/** A connection to an endpoint, without sockets. */
class OutboundConnectionTest {
    private final SentRequests sentRequests = new SentRequests();
    private final ResponseDecoder decoder = new ResponseDecoder(sentRequests);
    private final List<UnexpectedResponse> unexpected = new ArrayList<>();
    private final ConnectionPool pool = new ConnectionPool(
            null, () -> 0, new InstanceAddress("10.0.0.1", 80), 1_000, (peer, response) -> unexpected.add(response));
    private final OutboundConnection connection = new OutboundConnection(pool, sentRequests, decoder);
    private final EmbeddedChannel channel = new EmbeddedChannel(new HttpRequestEncoder(), decoder, connection);

    private void send(ResponseListener listener) {
        send(Optional.empty(), listener);
    }

    private void send(String id, ResponseListener listener) {
        send(Optional.of(new ExpectedResponseId("X-Id", id)), listener);
    }

    private void send(Optional<ExpectedResponseId> id, ResponseListener listener) {
        connection.send(
                new OutboundRequest(HttpMethod.POST, "/x", new DefaultHttpHeaders(), Unpooled.EMPTY_BUFFER, id),
                listener);
        channel.releaseOutbound();
    }

    private static final String EARLIER =
            "HTTP/1.1 200 OK\r\nX-Stamp: first\r\nX-Id: r-1\r\nContent-Length: 5\r\n\r\nfirst";

    private void receive(String text) {
        channel.writeInbound(Unpooled.copiedBuffer(text, StandardCharsets.ISO_8859_1));
    }

    /** The caller was slow at the end of a response, and the next call on the connection got no response. */
    @Test
    void connectionReadsAgainAfterAResponseThatEndedWhileReadingWasPaused() {
        Recorder first = new Recorder();
        send(first);
        receive("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfirst");
        assertThat(first.ended).isTrue();
        assertThat(channel.isOpen()).isTrue();
        assertThat(channel.config().isAutoRead()).isTrue();
    }

    /** Extra bytes on an idle connection must be read, so that it is closed before the next call. */
    @Test
    void idleConnectionIsClosedByExtraBytes() {
        send(new Recorder());
        receive("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfirst");
        receive("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
        assertThat(channel.isOpen()).isFalse();
    }

    /** Each beginning of the head of a copy, at each moment at which a connection may receive it. */
    static Stream<Arguments> beginningsOfACopy() {
        String copy = EARLIER.substring(0, EARLIER.indexOf("\r\n\r\n") + 2);
        return IntStream.rangeClosed(1, copy.length())
                .boxed()
                .flatMap(length -> Stream.of("with the response", "when idle", "before the next response")
                        .map(moment -> Arguments.of(length, moment, copy.substring(0, length))));
    }

    /** MIXED: a failure was joined to the first bytes of an earlier success, whose status the caller got. */
    @ParameterizedTest(name = "{0} bytes {1}")
    @MethodSource("beginningsOfACopy")
    void nextResponseDoesNotGetTheStatusOfACopy(int length, String moment, String beginning) {
        send("r-1", new Recorder());
        receive(moment.equals("with the response") ? EARLIER + beginning : EARLIER);
        if (moment.equals("when idle")) {
            receive(beginning);
        }
        if (!moment.equals("before the next response")) {
            assertThat(channel.isOpen()).isFalse();
            return;
        }
        StatusRecorder next = new StatusRecorder();
        send("r-2", next);
        receive(beginning);
        receive("HTTP/1.1 500 Failed\r\nX-Id: r-2\r\nContent-Length: 6\r\n\r\nfailed");
        assertThat(next.status).isAnyOf(0, 500);
    }

    /** A connection forgot the id of its first request, so that a copy passed as the response to the same id again. */
    @Test
    void connectionNeverForgetsAnIdWhileItIsUsed() {
        int requests = 0;
        while (channel.isOpen() && requests < 2 * SentRequests.MAX_REQUESTS) {
            requests++;
            String id = "r-" + requests;
            send(id, new Recorder());
            receive(answer(id));
            assertThat(connection.hasSent("r-1")).isTrue();
        }
        assertThat(requests).isEqualTo(SentRequests.MAX_REQUESTS);
    }

    /** Status lines that the decoder accepts. */
    static Stream<String> statusLines() {
        return Stream.of(
                "HTTP/1.1 500 Failed",
                "http/1.1 500 Failed",
                "HTTP/1.1  500 Failed",
                "HTTP/1.1\t500 Failed",
                "HTTP/1.2 500 Failed",
                "HTTP/2.0 500 Failed",
                "\r\nHTTP/1.1 500 Failed",
                "\nHTTP/1.1 500 Failed",
                "HTTP/1.1 500");
    }

    static Stream<Arguments> joinedStatusLines() {
        return statusLines()
                .flatMap(line -> Stream.of("HTTP/1.1 200 ", "HTTP/1.1 200 OK", "HTTP/1.1 200 OK\r\nX-Stamp: fi")
                        .flatMap(copy -> Stream.of("\r\n", "\n").map(end -> Arguments.of(copy, line, end))));
    }

    /** MIXED: a status line in a form that the decoder accepts was not seen where it was joined to a copy's head. */
    @ParameterizedTest
    @MethodSource("joinedStatusLines")
    void joinedStatusLineIsSeenInEachForm(String copy, String line, String end) {
        send("r-1", new Recorder());
        receive(EARLIER);
        StatusRecorder next = new StatusRecorder();
        send("r-2", next);
        receive(copy);
        receive(String.join(end, line, "X-Id: r-2", "Content-Length: 6", "", "failed"));
        assertThat(next.status).isAnyOf(0, 500);
    }

    /** Copies that stop in their body, and the number of bytes that are due; "0" is the last chunk without its end. */
    static Stream<Arguments> copiesCutInTheirBody() {
        String id = "HTTP/1.1 200 OK\r\nX-Id: r-1\r\n";
        return Stream.of(
                Arguments.of("length, no byte", id + "Content-Length: 58\r\n\r\n"),
                Arguments.of("length, in the body", id + "Content-Length: 60\r\n\r\nfi"),
                Arguments.of("length, short of one line", id + "Content-Length: 64\r\n\r\nfi"),
                Arguments.of("last chunk", id + "Transfer-Encoding: chunked\r\n\r\n5\r\nfirst\r\n0\r\n"),
                Arguments.of("chunk", id + "Transfer-Encoding: chunked\r\n\r\n3a\r\n"),
                Arguments.of("trailer", id + "Transfer-Encoding: chunked\r\n\r\n5\r\nfirst\r\n0\r\nX-Sum: 1"));
    }

    /** MIXED: a copy that stopped in its body took the next head for the rest, and the text of a body became a head. */
    @ParameterizedTest(name = "{0}")
    @MethodSource("copiesCutInTheirBody")
    void bodyIsNotReadAsAHeadAfterACopyCutInItsBody(String name, String copy) {
        send("r-1", new Recorder());
        receive(EARLIER);
        StatusRecorder next = new StatusRecorder();
        send("r-2", next);
        receive(copy);
        String text = "\r\n".repeat(10) + "HTTP/1.1 200 OK\r\nX-Id: r-2\r\nContent-Length: 0\r\n\r\n";
        receive("HTTP/1.1 500 Failed\r\nX-Id: r-2\r\nContent-Length: " + text.length() + "\r\n\r\n" + text);
        assertThat(next.status).isAnyOf(0, 500);
    }

    static Stream<Arguments> mergedResponses() {
        String cutBody = "HTTP/1.1 200 OK\r\nX-Id: r-1\r\nContent-Length: 4\r\n\r\n";
        return Stream.of(
                Arguments.of("HTTP/1.1 200 ", UnexpectedResponse.Reason.JOINED_HEAD),
                Arguments.of(cutBody, UnexpectedResponse.Reason.OTHER_BODY));
    }

    /** A call failed as malformed, and nothing said that a cut copy had taken a part of its response. */
    @ParameterizedTest(name = "{1}")
    @MethodSource("mergedResponses")
    void cutCopyIsReported(String copy, UnexpectedResponse.Reason reason) {
        send("r-1", new Recorder());
        receive(EARLIER);
        send("r-2", new StatusRecorder());
        receive(copy);
        receive("HTTP/1.1 500 Failed\r\nX-Id: r-2\r\nContent-Length: 0\r\n\r\n");
        assertThat(unexpected.stream().map(UnexpectedResponse::reason)).contains(reason);
    }

    /** A first response, which no copy can precede, was malformed if a header quoted a status line. */
    @Test
    void firstResponseMayQuoteAStatusLine() {
        Recorder first = new Recorder();
        send("r-1", first);
        receive("HTTP/1.1 500 Failed\r\nX-Id: r-1\r\nX-Error: HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n");
        assertThat(first.ended).isTrue();
    }

    static Stream<Arguments> unexpectedResponses() {
        return Stream.of(
                Arguments.of("r-1", UnexpectedResponse.Reason.EARLIER_REQUEST),
                Arguments.of("r-9", UnexpectedResponse.Reason.UNKNOWN_REQUEST));
    }

    /** A late copy of an answer left no trace, so that one could not tell it from an answer of another connection. */
    @ParameterizedTest(name = "{1}")
    @MethodSource("unexpectedResponses")
    void skippedResponseIsReported(String id, UnexpectedResponse.Reason reason) {
        send("r-1", new Recorder());
        receive(answer("r-1"));
        Recorder second = new Recorder();
        send("r-2", second);
        receive(answer(id) + answer("r-2"));
        assertThat(second.ended).isTrue();
        assertThat(unexpected).containsExactly(new UnexpectedResponse(reason, 200, Optional.of(id)));
    }

    @Test
    void responseWithoutAnOpenRequestIsReported() {
        send("r-1", new Recorder());
        receive(answer("r-1") + answer("r-1"));
        assertThat(unexpected)
                .containsExactly(
                        new UnexpectedResponse(UnexpectedResponse.Reason.NO_OPEN_REQUEST, 200, Optional.of("r-1")));
    }

    private static String answer(String id) {
        return "HTTP/1.1 200 OK\r\nX-Id: " + id + "\r\nContent-Length: 5\r\n\r\nfirst";
    }

    /** Pauses reading at the first content, as for a slow caller. */
    private final class Recorder implements ResponseListener {
        private boolean ended;

        @Override
        public void onHead(HttpResponse head) {}

        @Override
        public void onContent(ByteBuf content) {
            connection.setReading(false);
        }

        @Override
        public void onEnd() {
            ended = true;
        }

        @Override
        public void onFailure(OutboundFailure failure) {
            throw new AssertionError(failure);
        }
    }

    /** Records the status of a response; 0 if there was none. */
    private static final class StatusRecorder implements ResponseListener {
        private int status;

        @Override
        public void onHead(HttpResponse head) {
            status = head.status().code();
        }

        @Override
        public void onContent(ByteBuf content) {}

        @Override
        public void onEnd() {}

        @Override
        public void onFailure(OutboundFailure failure) {}
    }
}
