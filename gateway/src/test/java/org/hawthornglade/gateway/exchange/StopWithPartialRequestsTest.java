package org.hawthornglade.gateway.exchange;

import static com.google.common.truth.Truth.assertThat;

import java.net.Socket;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** A planned stop comes to its end while requests are on their way. */
class StopWithPartialRequestsTest extends ExchangeTestBase {
    private static final String HEAD = "POST /safe/x HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: r-1\r\n";
    private static final String LENGTH = HEAD + "Content-Length: 10\r\n\r\nhello";
    private static final String CHUNKED = HEAD + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n";

    /** LOST: a stop did not count a request whose body was on its way, and the process ended before it was complete. */
    @ParameterizedTest(name = "{0}, {1}")
    @CsvSource({"length, before", "chunks, before", "length, after", "chunks, after"})
    void requestWithPartOfItsBodyIsRefused(String framing, String refusing) throws Exception {
        String sent = framing.equals("length") ? LENGTH : CHUNKED;
        try (Socket socket = entry.connect()) {
            int sentBefore = refusing.equals("before") ? sent.length() : 10;
            TestEntry.send(socket, sent.substring(0, sentBefore));
            awaitPartialRequest();
            entry.startRefusing();
            entry.closeIdle();
            TestEntry.send(socket, sent.substring(sentBefore));
            String received = TestEntry.read(socket, "\"STOPPING\"}}\n");
            assertThat(received).startsWith("HTTP/1.1 503");
            assertThat(received).contains("connection: close");
            assertThat(entry.log()).contains("request=r-1 code=2006");
        }
    }

    /** The same for a request of which not even the head is complete: it is open until the end of the grace. */
    @ParameterizedTest
    @ValueSource(strings = {"P", HEAD})
    void requestWithPartOfItsHeadIsOpenUntilItIsRefused(String sent) throws Exception {
        try (Socket socket = entry.connect()) {
            TestEntry.send(socket, sent);
            awaitPartialRequest();
            entry.closeIdle();
            assertThat(entry.openWork().partialRequests()).isEqualTo(1);
            entry.refusePartial();
            assertThat(TestEntry.read(socket, "")).startsWith("HTTP/1.1 503");
        }
    }

    /** Guards against a stop that resets connections which the system had accepted, and the entry had not looked at. */
    @ParameterizedTest
    @ValueSource(ints = {1, 20})
    void connectionThatArrivesWhileTheEntryStopsListeningIsAnswered(int connections) throws Exception {
        entry.startRefusing();
        for (Socket socket : entry.connectWhileClosing(connections)) {
            try (socket) {
                TestEntry.send(socket, TestEntry.post("/safe/x", "r-1", "a"));
                assertThat(TestEntry.read(socket, "\r\n\r\n")).startsWith("HTTP/1.1 503");
            }
        }
    }

    private void awaitPartialRequest() {
        await(() -> entry.openWork().partialRequests() == 1);
    }
}
