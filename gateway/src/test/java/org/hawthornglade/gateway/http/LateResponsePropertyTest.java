package org.hawthornglade.gateway.http;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

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
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.hawthornglade.core.fleet.InstanceAddress;

/**
 * An endpoint sends earlier responses of a connection once more, while later requests use the connection.
 *
 * <p>The body of each response contains the text of a response to the next request.
 */
class LateResponsePropertyTest {
    /** How a response marks its end. */
    private enum Shape {
        LENGTH,
        CHUNKED,
        NO_CONTENT,
        NOT_MODIFIED,
        CONNECTION
    }

    /** What is sent of an earlier response. */
    private enum Copy {
        NONE,
        WHOLE,
        TWICE,
        IN_TWO_PIECES,
        CUT,
        THEN_CLOSED
    }

    /** When the copy is sent, relative to the next request and its response. */
    private enum Moment {
        BEFORE_REQUEST,
        BEFORE_RESPONSE,
        WITH_RESPONSE,
        AFTER_RESPONSE
    }

    /**
     * One request, its response, and a copy of an earlier response.
     *
     * @param id selects one of a few ids, so that ids are used again
     * @param copied selects the earlier response that is copied
     * @param cutPercent where a copy is split or cut
     */
    private record Step(
            HttpMethod method, int id, Shape shape, int status, Copy copy, Moment moment, int copied, int cutPercent) {}

    @Provide
    Arbitrary<List<Step>> steps() {
        Arbitrary<Step> step = Combinators.combine(
                        Arbitraries.of(HttpMethod.GET, HttpMethod.HEAD, HttpMethod.POST),
                        Arbitraries.integers().between(1, 5),
                        Arbitraries.of(Shape.class),
                        Arbitraries.of(200, 404, 500, 503),
                        Arbitraries.of(Copy.class),
                        Arbitraries.of(Moment.class),
                        Arbitraries.integers().between(0, 3),
                        Arbitraries.integers().between(1, 99))
                .as(Step::new);
        return step.list().ofMinSize(2).ofMaxSize(8);
    }

    /** A copy that was framed by the method of the newest request let the text of a body be read as a response. */
    @Property(tries = 4_000, seed = "45")
    void eachRequestGetsItsOwnResponse(@ForAll("steps") List<Step> steps) {
        Peer peer = new Peer();
        for (int number = 0; number < steps.size(); number++) {
            int nextId = steps.get((number + 1) % steps.size()).id();
            Outcome outcome = peer.run(number, steps.get(number), nextId);
            outcome.check();
        }
    }

    /** What a request got. */
    private record Outcome(Step step, int number, String expectedBody, boolean mayFail, Recorder received) {
        void check() {
            if (!received.ended) {
                assertWithMessage("request %s of %s has failed", number, step)
                        .that(mayFail)
                        .isTrue();
                return;
            }
            assertThat(received.stamp).isEqualTo("run-" + number);
            assertThat(received.body.toString()).isEqualTo(expectedBody);
        }
    }

    /** The endpoint, with the connection that is open to it. */
    private static final class Peer {
        private final ConnectionPool pool =
                new ConnectionPool(null, () -> 0, new InstanceAddress("10.0.0.1", 80), 1_000);
        private final List<String> responses = new ArrayList<>();
        private EmbeddedChannel channel;
        private OutboundConnection connection;

        Outcome run(int number, Step step, int nextId) {
            if (step.moment() == Moment.BEFORE_REQUEST && channel != null) {
                sendCopy(step);
            }
            if (channel == null || !channel.isOpen() || connection.hasSent(id(step.id()))) {
                connect();
            }
            boolean copyPossible = !responses.isEmpty();
            Recorder recorder = new Recorder();
            connection.send(request(step), recorder);
            channel.releaseOutbound();
            String body = step.method().equals(HttpMethod.HEAD) ? "" : body(step, nextId);
            String response = response(number, step, nextId) + encoded(step.shape(), body);
            if (step.moment() == Moment.BEFORE_RESPONSE) {
                sendCopy(step);
            }
            boolean joined = step.moment() == Moment.WITH_RESPONSE && copyPossible && step.copy() == Copy.WHOLE;
            receive((joined ? copied(step) : "") + response);
            if (step.shape() == Shape.CONNECTION) {
                Channels.close(channel);
            }
            if (step.moment() == Moment.AFTER_RESPONSE) {
                sendCopy(step);
            }
            responses.add(response);
            boolean disturbed = step.moment() == Moment.BEFORE_RESPONSE
                    && (step.copy() == Copy.CUT || step.copy() == Copy.THEN_CLOSED);
            if (!recorder.ended) {
                connection.cancel();
            }
            return new Outcome(step, number, body, disturbed && copyPossible, recorder);
        }

        private void connect() {
            if (channel != null) {
                Channels.close(channel);
            }
            responses.clear();
            SentRequests sentRequests = new SentRequests();
            ResponseDecoder decoder = new ResponseDecoder(sentRequests);
            connection = new OutboundConnection(pool, sentRequests, decoder);
            channel = new EmbeddedChannel(new HttpRequestEncoder(), decoder, connection);
        }

        private String copied(Step step) {
            return responses.get(step.copied() % responses.size());
        }

        private void sendCopy(Step step) {
            if (responses.isEmpty() || step.copy() == Copy.NONE) {
                return;
            }
            String copy = copied(step);
            int cut = Math.max(1, copy.length() * step.cutPercent() / 100);
            receive(copy.substring(0, cut));
            if (step.copy() == Copy.CUT) {
                return;
            }
            receive(copy.substring(cut));
            if (step.copy() == Copy.TWICE) {
                receive(copy);
            }
            if (step.copy() == Copy.THEN_CLOSED) {
                Channels.close(channel);
            }
        }

        private void receive(String text) {
            if (channel.isOpen() && !text.isEmpty()) {
                channel.writeInbound(Unpooled.copiedBuffer(text, StandardCharsets.ISO_8859_1));
            }
        }

        private static OutboundRequest request(Step step) {
            return new OutboundRequest(
                    step.method(),
                    "/x",
                    new DefaultHttpHeaders(),
                    Unpooled.EMPTY_BUFFER,
                    Optional.of(new ExpectedResponseId("X-Id", id(step.id()))));
        }

        private static String id(int number) {
            return "r-" + number;
        }

        /** Returns a body that contains a response to the next request. */
        private static String body(Step step, int nextId) {
            if (step.shape() == Shape.NO_CONTENT || step.shape() == Shape.NOT_MODIFIED) {
                return "";
            }
            return "HTTP/1.1 200 OK\r\nX-Id: " + id(nextId) + "\r\nX-Stamp: none\r\nContent-Length: 0\r\n\r\n";
        }

        private static String response(int number, Step step, int nextId) {
            int status =
                    switch (step.shape()) {
                        case NO_CONTENT -> 204;
                        case NOT_MODIFIED -> 304;
                        default -> step.status();
                    };
            String head = "HTTP/1.1 " + status + " X\r\nX-Id: " + id(step.id()) + "\r\nX-Stamp: run-" + number + "\r\n";
            return switch (step.shape()) {
                case LENGTH, NOT_MODIFIED ->
                    head + "Content-Length: " + body(step, nextId).length() + "\r\n\r\n";
                case CHUNKED -> head + "Transfer-Encoding: chunked\r\n\r\n";
                case NO_CONTENT, CONNECTION -> head + "\r\n";
            };
        }

        private static String encoded(Shape shape, String body) {
            if (shape != Shape.CHUNKED || body.isEmpty()) {
                return body;
            }
            return Integer.toHexString(body.length()) + "\r\n" + body + "\r\n0\r\n\r\n";
        }
    }

    /** Records a response. */
    private static final class Recorder implements ResponseListener {
        private final StringBuilder body = new StringBuilder();
        private String stamp;
        private boolean ended;

        @Override
        public void onHead(HttpResponse head) {
            stamp = head.headers().get("X-Stamp");
        }

        @Override
        public void onContent(ByteBuf content) {
            body.append(content.toString(StandardCharsets.ISO_8859_1));
        }

        @Override
        public void onEnd() {
            ended = true;
        }

        @Override
        public void onFailure(OutboundFailure failure) {}
    }
}
