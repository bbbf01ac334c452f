package org.hawthornglade.gateway.exchange;

import static com.google.common.truth.Truth.assertThat;

import java.net.Socket;
import java.util.List;
import java.util.stream.Stream;
import org.hawthornglade.gateway.exchange.ScriptedEndpoint.ConnectionAction;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/** Endpoints that say in an answer that they leave, or want nothing for a time. */
class EndpointNoticesTest extends ExchangeTestBase {
    private static final String LEAVING = "X-Leaves: 1\r\n";
    private static final String RETRY_AFTER = TestProtocol.RETRY_AFTER_MS + ": 60000\r\n";
    private static final String LIMIT = TestProtocol.LIMIT + ": 1\r\n";
    private static final String ID = "X-Request-Id: %ID%\r\n";
    private static final String SUCCESS = "HTTP/1.1 200 OK\r\n" + ID + "X-Signature: s\r\n%NOTICE%";
    private static final String WHOLE = SUCCESS + "Content-Length: 5\r\n\r\nfirst";
    private static final String STREAM =
            SUCCESS + "Content-Type: text/event-stream\r\n\r\nid: 1\ndata: x\n\nid: 2\ndata: y\n\n";
    private static final String FAILURE =
            "HTTP/1.1 500 No\r\n" + ID + "X-Signature: s\r\n%NOTICE%Content-Length: 0\r\n\r\n";
    private static final String REJECTION =
            "HTTP/1.1 503 Busy\r\n" + ID + "X-Unrun: 1\r\n%NOTICE%Content-Length: 0\r\n\r\n";
    private static final String ANSWER = WHOLE.replace("%NOTICE%", "");
    private static final String SECOND = ANSWER.replace(": 5", ": 6").replace("first", "second");

    private static String withNotice(String answer, String notice) {
        return answer.replace("%NOTICE%", notice);
    }

    static Stream<Arguments> responsesWithNotice() {
        return Stream.of(
                Arguments.of("success", "/unsafe/x", WHOLE, ConnectionAction.KEEP_OPEN),
                Arguments.of("success, connection closed", "/unsafe/x", WHOLE, ConnectionAction.CLOSE),
                Arguments.of("failure", "/unsafe/x", FAILURE, ConnectionAction.KEEP_OPEN),
                Arguments.of("failure of a call that repeats", "/safe/x", FAILURE, ConnectionAction.KEEP_OPEN),
                Arguments.of("rejection", "/unsafe/x", REJECTION, ConnectionAction.KEEP_OPEN),
                Arguments.of("stream", "/stream/x", STREAM, ConnectionAction.CLOSE),
                Arguments.of("stream that is resumed elsewhere", "/resumable/x", STREAM, ConnectionAction.RESET));
    }

    /** A server that said it leaves got calls until the list said so, over the kept connection too. */
    @ParameterizedTest(name = "{0}")
    @MethodSource("answersThatSayIt")
    void leavingEndpointGetsNoFurtherCall(String name, String path, String answer, ConnectionAction then)
            throws Exception {
        local.respond(withNotice(answer, LEAVING), then);
        for (int i = 0; i < 4; i++) {
            remote.respond(SECOND, ConnectionAction.KEEP_OPEN);
        }
        entry.call(path);
        assertThat(entry.call("/unsafe/x")).endsWith("second");
        assertThat(entry.call("/safe/x")).endsWith("second");
        assertThat(local.unreadRequests()).isEqualTo(1);
    }

    /** LIMIT: an endpoint that had named a limit got calls as before; here no leader deals permits. */
    @ParameterizedTest(name = "{0}")
    @MethodSource("answersThatSayIt")
    void endpointWithRateLimitGetsNoCallWithoutPermit(String name, String path, String answer, ConnectionAction then)
            throws Exception {
        local.respond(withNotice(answer, LIMIT), then);
        for (int i = 0; i < 4; i++) {
            remote.respond(SECOND, ConnectionAction.KEEP_OPEN);
        }
        entry.call(path);
        assertThat(entry.call("/unsafe/x")).endsWith("second");
        assertThat(entry.call("/safe/x")).endsWith("second");
        assertThat(local.unreadRequests()).isEqualTo(1);
    }

    /** All endpoints are limited and nobody deals permits: the caller is told so before its deadline. */
    @Test
    void callerGetsRetryAfterWhenAllEndpointsAreLimitedAndNoPermitsAreGranted() throws Exception {
        local.respond(withNotice(REJECTION, LIMIT), ConnectionAction.KEEP_OPEN);
        remote.respond(withNotice(REJECTION, LIMIT), ConnectionAction.KEEP_OPEN);
        String refusal = entry.call("/unsafe/x");
        assertThat(refusal).startsWith("HTTP/1.1 503");
        assertThat(refusal).contains("Retry-After");
        assertThat(local.unreadRequests() + remote.unreadRequests()).isEqualTo(2);
    }

    @Test
    void pausedEndpointGetsNoCall() throws Exception {
        local.respond(withNotice(REJECTION, RETRY_AFTER), ConnectionAction.KEEP_OPEN);
        remote.respond(SECOND, ConnectionAction.KEEP_OPEN).respond(SECOND, ConnectionAction.KEEP_OPEN);
        assertThat(entry.call("/unsafe/x")).endsWith("second");
        assertThat(entry.call("/unsafe/x")).endsWith("second");
        assertThat(local.unreadRequests()).isEqualTo(1);
    }

    /** Shut for longer than the caller stays: it is told so at once, not at its deadline. */
    @Test
    void callerGetsRetryAfterOfTheFirstEndpointWhenAllArePaused() throws Exception {
        local.respond(withNotice(REJECTION, RETRY_AFTER), ConnectionAction.KEEP_OPEN);
        remote.respond(withNotice(REJECTION, RETRY_AFTER.replace("60000", "50000")), ConnectionAction.KEEP_OPEN);
        String refusal = entry.call("/unsafe/x");
        assertThat(refusal).startsWith("HTTP/1.1 503");
        assertThat(refusal).containsMatch("Retry-After: (50000|49\\d\\d\\d)");
        assertThat(entry.call("/unsafe/x")).startsWith("HTTP/1.1 503");
        assertThat(local.unreadRequests() + remote.unreadRequests()).isEqualTo(2);
    }

    /** The endpoint is shut for less time than the caller stays, but longer than it would come back after. */
    @Test
    void callWaitsForEndpointWhosePauseEndsBeforeItsDeadline() throws Exception {
        local.respond(withNotice(REJECTION, RETRY_AFTER.replace("60000", "700")), ConnectionAction.KEEP_OPEN).respond(ANSWER, ConnectionAction.KEEP_OPEN);
        remote.respond(withNotice(REJECTION, RETRY_AFTER), ConnectionAction.KEEP_OPEN);
        String request = TestEntry.post("/unsafe/x", "r-1", "hello")
                .replaceFirst("\r\n\r\n", "\r\n" + TestProtocol.REMAINING_MS + ": 1900\r\n\r\n");
        try (Socket socket = entry.connect()) {
            TestEntry.send(socket, request);
            assertThat(TestEntry.read(socket, "first")).startsWith("HTTP/1.1 200");
        }
    }

    /** One call runs at each endpoint, so that the third goes to the nearer, which says that it leaves. */
    @Test
    void callRunningAtLeavingEndpointCompletes() throws Exception {
        local.respond(ANSWER, ConnectionAction.SEND_WHEN_RELEASED).respond(withNotice(WHOLE, LEAVING), ConnectionAction.KEEP_OPEN);
        remote.respond(SECOND, ConnectionAction.SEND_WHEN_RELEASED);
        try (Socket running = entry.connect();
                Socket other = entry.connect()) {
            TestEntry.send(running, TestEntry.post("/unsafe/x", "r-1", "hello"));
            local.takeRequest();
            TestEntry.send(other, TestEntry.post("/unsafe/x", "r-2", "hello"));
            remote.takeRequest();
            assertThat(entry.call("/unsafe/x")).endsWith("first");
            local.release();
            assertThat(TestEntry.read(running, "first")).startsWith("HTTP/1.1 200");
        }
    }

    /** What an endpoint says to one entry is no word to another. */
    @Test
    void noticeAffectsOnlyTheEntryThatReceivedIt() throws Exception {
        local.respond(withNotice(REJECTION, RETRY_AFTER), ConnectionAction.KEEP_OPEN).respond(ANSWER, ConnectionAction.KEEP_OPEN);
        remote.respond(SECOND, ConnectionAction.KEEP_OPEN).respond(SECOND, ConnectionAction.KEEP_OPEN);
        try (TestEntry other = new TestEntry(List.of(local, remote))) {
            assertThat(entry.call("/unsafe/x")).endsWith("second");
            assertThat(other.call("/unsafe/x")).endsWith("first");
            assertThat(entry.call("/unsafe/x")).endsWith("second");
        }
    }
}
