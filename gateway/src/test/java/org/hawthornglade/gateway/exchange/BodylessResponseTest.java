package org.hawthornglade.gateway.exchange;

import static com.google.common.truth.Truth.assertThat;

import java.net.Socket;
import java.util.stream.Stream;
import org.hawthornglade.gateway.exchange.ScriptedEndpoint.ConnectionAction;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/** Responses that have no body by the protocol, on a connection that carries another request afterwards. */
class BodylessResponseTest extends ExchangeTestBase {
    private static final String SIGNED = "HTTP/1.1 %s\r\nX-Request-Id: %%ID%%\r\nX-Signature: s\r\n";
    private static final String SECOND = SIGNED.formatted("200 OK") + "Content-Length: 6\r\n\r\nsecond";

    private static String answer(String status, String headers) {
        return SIGNED.formatted(status) + headers + "\r\n";
    }

    private static String request(String method, String path, String id) {
        return method + " " + path + " HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: " + id + "\r\n\r\n";
    }

    static Stream<Arguments> responses() {
        return Stream.of(
                Arguments.of("HEAD", "/unknown/x", "404", "", ConnectionAction.KEEP_OPEN),
                Arguments.of("HEAD", "/unsafe/x", "502", "", ConnectionAction.CLOSE),
                Arguments.of("HEAD", "/unsafe/x", "502", "what is this\r\n\r\n", ConnectionAction.CLOSE),
                Arguments.of(
                        "HEAD",
                        "/safe/x",
                        "200",
                        answer("200 OK", "Content-Length: 6\r\n"),
                        ConnectionAction.KEEP_OPEN),
                Arguments.of(
                        "HEAD",
                        "/safe/x",
                        "200",
                        answer("200 OK", "Transfer-Encoding: chunked\r\n"),
                        ConnectionAction.KEEP_OPEN),
                Arguments.of("HEAD", "/safe/x", "200", answer("200 OK", ""), ConnectionAction.KEEP_OPEN),
                Arguments.of(
                        "HEAD",
                        "/stream/x",
                        "200",
                        answer("200 OK", "Content-Type: text/event-stream\r\n"),
                        ConnectionAction.KEEP_OPEN),
                Arguments.of(
                        "HEAD",
                        "/safe/x",
                        "404",
                        answer("404 Not Found", "Content-Length: 9\r\n"),
                        ConnectionAction.KEEP_OPEN),
                Arguments.of("HEAD", "/safe/x", "204", answer("204 No Content", ""), ConnectionAction.KEEP_OPEN),
                Arguments.of("GET", "/safe/x", "204", answer("204 No Content", ""), ConnectionAction.KEEP_OPEN),
                Arguments.of("GET", "/safe/x", "304", answer("304 Not Modified", ""), ConnectionAction.KEEP_OPEN),
                Arguments.of(
                        "GET",
                        "/safe/x",
                        "304",
                        answer("304 Not Modified", "Content-Length: 9\r\n"),
                        ConnectionAction.KEEP_OPEN),
                Arguments.of(
                        "GET",
                        "/safe/x",
                        "200",
                        answer("103 Early", "") + answer("200 OK", "Content-Length: 0\r\n"),
                        ConnectionAction.KEEP_OPEN));
    }

    /** The body of the entry's error for HEAD was taken for the answer to the next request (review/5). */
    @ParameterizedTest(name = "{0} {1} {2} [{index}]")
    @MethodSource("responses")
    void nextRequestOnTheConnectionGetsItsOwnAnswer(
            String method, String path, String status, String answer, ConnectionAction action) throws Exception {
        if (!path.startsWith("/unknown")) {
            local.respond(answer, action);
        }
        local.respond(SECOND, ConnectionAction.KEEP_OPEN);
        remote.respond(SECOND, ConnectionAction.KEEP_OPEN);
        try (Socket caller = entry.connect()) {
            TestEntry.send(caller, request(method, path, "r-1"));
            String head = TestEntry.read(caller, "\r\n\r\n");
            assertThat(head).startsWith("HTTP/1.1 " + status);
            TestEntry.send(caller, request("GET", "/safe/y", "r-2"));
            String next = TestEntry.read(caller, "second");
            assertThat(next).startsWith("HTTP/1.1 200");
        }
    }
}
