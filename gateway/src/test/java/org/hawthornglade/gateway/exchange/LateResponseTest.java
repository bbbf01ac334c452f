package org.hawthornglade.gateway.exchange;

import static com.google.common.truth.Truth.assertThat;

import java.net.Socket;
import java.util.List;
import java.util.stream.Stream;
import org.hawthornglade.gateway.exchange.ScriptedEndpoint.ConnectionAction;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/** An endpoint sends its last response once more before the response to the next call; tested over sockets. */
class LateResponseTest extends ExchangeTestBase {
    private static final String SIGNED = "HTTP/1.1 %s\r\nX-Request-Id: %%ID%%\r\nX-Signature: %s\r\n";
    /** A body with the text of a response to the next call. */
    private static final String BODY = SIGNED.formatted("200 OK", "body").replace("%ID%", "r-2") + "\r\n";

    static Stream<Arguments> calls() {
        return Stream.of("HEAD", "GET", "POST")
                .flatMap(first -> Stream.of("HEAD", "GET", "POST")
                        .flatMap(next -> Stream.of("length", "chunked", "no content", "not modified")
                                .map(shape -> Arguments.of(first, next, shape))));
    }

    private static String response(String method, String shape) {
        boolean body = !method.equals("HEAD");
        return switch (shape) {
            case "length" ->
                SIGNED.formatted("200 OK", "first") + "Content-Length: " + BODY.length() + "\r\n\r\n"
                        + (body ? BODY : "");
            case "chunked" ->
                SIGNED.formatted("200 OK", "first") + "Transfer-Encoding: chunked\r\n\r\n"
                        + (body ? Integer.toHexString(BODY.length()) + "\r\n" + BODY + "\r\n0\r\n\r\n" : "");
            case "no content" -> SIGNED.formatted("204 No Content", "first") + "\r\n";
            default -> SIGNED.formatted("304 Not Modified", "first") + "Content-Length: " + BODY.length() + "\r\n\r\n";
        };
    }

    private static String request(String method, String id) {
        return TestEntry.post("/unsafe/x", id, "").replace("POST", method);
    }

    /** A copy of a response was framed by the next call's method, although one of both was HEAD. */
    @ParameterizedTest(name = "{0}, then {1}, {2}")
    @MethodSource("calls")
    void nextCallGetsItsOwnResponse(String first, String next, String shape) throws Exception {
        String failure = SIGNED.formatted("500 Failed", "second") + "Content-Length: 6\r\n\r\n"
                + (next.equals("HEAD") ? "" : "second");
        local.respond(response(first, shape), ConnectionAction.KEEP_OPEN)
                .respond("%LATE%" + failure, ConnectionAction.KEEP_OPEN);
        try (TestEntry alone = new TestEntry(List.of(local))) {
            assertThat(call(alone, request(first, "r-1"))).contains("X-Signature: first");
            String received = call(alone, request(next, "r-2"));
            assertThat(received).startsWith("HTTP/1.1 500");
            assertThat(received).contains("X-Signature: second");
        }
    }

    private static String call(TestEntry entry, String request) throws Exception {
        try (Socket socket = entry.connect()) {
            TestEntry.send(socket, request.replace("\r\n\r\n", "\r\nConnection: close\r\n\r\n"));
            return TestEntry.read(socket, "");
        }
    }
}
