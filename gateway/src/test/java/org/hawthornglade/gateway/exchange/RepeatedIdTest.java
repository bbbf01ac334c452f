package org.hawthornglade.gateway.exchange;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against callers that pipeline requests with one id, and so take all slots and descriptors of an entry. */
class RepeatedIdTest {
    private static final int SLOTS = 8;
    private static final String RESPONSE =
            "HTTP/1.1 200 OK\r\nX-Signature: s\r\nX-Request-Id: %ID%\r\nContent-Length: 2\r\n\r\nok";

    private ScriptedEndpoint endpoint;
    private TestEntry entry;

    @BeforeEach
    void start() throws IOException {
        endpoint = new ScriptedEndpoint();
        entry = new TestEntry(List.of(endpoint));
    }

    @AfterEach
    void stop() {
        entry.close();
        endpoint.close();
    }

    /** A freed slot went to the next request on the same connection, before the waiting calls were decided again. */
    @Test
    void pipelinedRequestDoesNotOvertakeWaitingCall() throws Exception {
        List<Socket> sockets = new ArrayList<>();
        try {
            for (int i = 0; i < SLOTS; i++) {
                endpoint.respond(RESPONSE, ScriptedEndpoint.ConnectionAction.SEND_WHEN_RELEASED);
                Socket socket = entry.connect();
                sockets.add(socket);
                TestEntry.send(
                        socket, TestEntry.post("/unsafe/x", "bad", "first").repeat(4));
                assertThat(endpoint.takeRequest()).contains("bad");
            }
            Socket ordinary = entry.connect();
            sockets.add(ordinary);
            TestEntry.send(ordinary, TestEntry.post("/unsafe/x", "ordinary", "hello"));
            awaitWaiting();
            endpoint.respond(RESPONSE, ScriptedEndpoint.ConnectionAction.KEEP_OPEN);
            endpoint.release();
            assertThat(ScriptedEndpoint.header(endpoint.takeRequest(), "x-request-id"))
                    .isEqualTo("ordinary");
            assertThat(TestEntry.read(ordinary, "ok")).contains("200 OK");
        } finally {
            for (Socket socket : sockets) {
                socket.close();
            }
        }
    }

    private void awaitWaiting() throws Exception {
        for (int poll = 0; poll < 10_000 && entry.waiting() == 0; poll++) {
            Thread.onSpinWait();
        }
        assertThat(entry.waiting()).isEqualTo(1);
    }

    /** Each request with an id that was sent before left another idle connection to the endpoint. */
    @Test
    void connectionsThatHaveSentTheIdAreReplaced() throws Exception {
        for (int i = 0; i < 2; i++) {
            endpoint.respond(RESPONSE, ScriptedEndpoint.ConnectionAction.KEEP_OPEN);
            assertThat(entry.call("/unsafe/x")).contains("200 OK");
        }
        assertThat(endpoint.awaitClose()).isTrue();
    }
}
