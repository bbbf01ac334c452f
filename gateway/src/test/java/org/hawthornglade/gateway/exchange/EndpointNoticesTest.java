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

/** Endpoints that announce in a response that they leave, pause or have a rate limit. */
class EndpointNoticesTest extends ExchangeTestBase {
    private static final String LEAVING = "X-Leaves: 1\r\n";
    private static final String RETRY_AFTER = TestProtocol.RETRY_AFTER_MS + ": 60000\r\n";
    private static final String LIMIT = TestProtocol.LIMIT + ": 1\r\n";
    private static final String ID = "X-Request-Id: %ID%\r\n";
    private static final String SUCCESS = "HTTP/1.1 200 OK\r\n" + ID + "X-Signature: s\r\n%NOTICE%";
    private static final String COMPLETE = SUCCESS + "Content-Length: 5\r\n\r\nfirst";
    private static final String STREAM =
            SUCCESS + "Content-Type: text/event-stream\r\n\r\nid: 1\ndata: x\n\nid: 2\ndata: y\n\n";
    private static final String FAILURE =
            "HTTP/1.1 500 No\r\n" + ID + "X-Signature: s\r\n%NOTICE%Content-Length: 0\r\n\r\n";
    private static final String REJECTION =
            "HTTP/1.1 503 Busy\r\n" + ID + "X-Unrun: 1\r\n%NOTICE%Content-Length: 0\r\n\r\n";
    private static final String WITHOUT_NOTICE = COMPLETE.replace("%NOTICE%", "");
    private static final String SECOND = WITHOUT_NOTICE.replace(": 5", ": 6").replace("first", "second");

    private static String withNotice(String response, String notice) {
        return response.replace("%NOTICE%", notice);
    }

    static Stream<Arguments> responsesWithNotice() {
        return Stream.of(
                Arguments.of("success", "/unsafe/x", COMPLETE, ConnectionAction.KEEP_OPEN),
                Arguments.of("success, connection closed", "/unsafe/x", COMPLETE, ConnectionAction.CLOSE),
                Arguments.of("failure", "/unsafe/x", FAILURE, ConnectionAction.KEEP_OPEN),
                Arguments.of("failure of a call that repeats", "/safe/x", FAILURE, ConnectionAction.KEEP_OPEN),
                Arguments.of("rejection", "/unsafe/x", REJECTION, ConnectionAction.KEEP_OPEN),
                Arguments.of("stream", "/stream/x", STREAM, ConnectionAction.CLOSE),
                Arguments.of("stream that is resumed elsewhere", "/resumable/x", STREAM, ConnectionAction.RESET));
    }

    /** A leaving endpoint got calls until the list of instances showed it as leaving, also on the idle connection. */
    @ParameterizedTest(name = "{0}")
    @MethodSource("responsesWithNotice")
    void leavingEndpointGetsNoFurtherCall(String name, String path, String response, ConnectionAction action)
            throws Exception {
        local.respond(withNotice(response, LEAVING), action);
        for (int i = 0; i < 4; i++) {
            remote.respond(SECOND, ConnectionAction.KEEP_OPEN);
        }
        entry.call(path);
        assertThat(entry.call("/unsafe/x")).endsWith("second");
        assertThat(entry.call("/safe/x")).endsWith("second");
        assertThat(local.unreadRequests()).isEqualTo(1);
    }

    /** An endpoint with an advertised rate limit got calls as before; here no leader grants permits. */
    @ParameterizedTest(name = "{0}")
    @MethodSource("responsesWithNotice")
    void endpointWithRateLimitGetsNoCallWithoutPermit(
            String name, String path, String response, ConnectionAction action) throws Exception {
        local.respond(withNotice(response, LIMIT), action);
        for (int i = 0; i < 4; i++) {
            remote.respond(SECOND, ConnectionAction.KEEP_OPEN);
        }
        entry.call(path);
        assertThat(entry.call("/unsafe/x")).endsWith("second");
        assertThat(entry.call("/safe/x")).endsWith("second");
        assertThat(local.unreadRequests()).isEqualTo(1);
    }

    /** All endpoints are limited and no leader grants permits: the caller gets Retry-After before its deadline. */
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

    /** The pauses end after the deadline of the caller, so it gets the refusal at once, not at its deadline. */
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

    /** The pause ends before the deadline of the caller, but later than the caller would retry. */
    @Test
    void callWaitsForEndpointWhosePauseEndsBeforeItsDeadline() throws Exception {
        local.respond(withNotice(REJECTION, RETRY_AFTER.replace("60000", "700")), ConnectionAction.KEEP_OPEN)
                .respond(WITHOUT_NOTICE, ConnectionAction.KEEP_OPEN);
        remote.respond(withNotice(REJECTION, RETRY_AFTER), ConnectionAction.KEEP_OPEN);
        String request = TestEntry.post("/unsafe/x", "r-1", "hello")
                .replaceFirst("\r\n\r\n", "\r\n" + TestProtocol.REMAINING_MS + ": 1900\r\n\r\n");
        try (Socket socket = entry.connect()) {
            TestEntry.send(socket, request);
            assertThat(TestEntry.read(socket, "first")).startsWith("HTTP/1.1 200");
        }
    }

    /** One call runs at each endpoint, so that the third goes to the local one, which announces that it leaves. */
    @Test
    void callRunningAtLeavingEndpointCompletes() throws Exception {
        local.respond(WITHOUT_NOTICE, ConnectionAction.SEND_WHEN_RELEASED)
                .respond(withNotice(COMPLETE, LEAVING), ConnectionAction.KEEP_OPEN);
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

    /** A notice that one entry received has no effect at another entry. */
    @Test
    void noticeAffectsOnlyTheEntryThatReceivedIt() throws Exception {
        local.respond(withNotice(REJECTION, RETRY_AFTER), ConnectionAction.KEEP_OPEN)
                .respond(WITHOUT_NOTICE, ConnectionAction.KEEP_OPEN);
        remote.respond(SECOND, ConnectionAction.KEEP_OPEN).respond(SECOND, ConnectionAction.KEEP_OPEN);
        try (TestEntry other = new TestEntry(List.of(local, remote))) {
            assertThat(entry.call("/unsafe/x")).endsWith("second");
            assertThat(other.call("/unsafe/x")).endsWith("first");
            assertThat(entry.call("/unsafe/x")).endsWith("second");
        }
    }
}
