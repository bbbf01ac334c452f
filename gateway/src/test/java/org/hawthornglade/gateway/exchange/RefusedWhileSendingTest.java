package org.hawthornglade.gateway.exchange;

import static com.google.common.truth.Truth.assertThat;

import java.net.Socket;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Callers that go on sending a request after it was refused. */
class RefusedWhileSendingTest extends ExchangeTestBase {
    private static final int PIECES = 200;
    private static final String PIECE = "x".repeat(10_000);
    private static final String HEAD = "POST /safe/x HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: r-1\r\n";

    /** The response to a refused request was lost: its connection was reset while the caller sent the rest. */
    @ParameterizedTest
    @CsvSource({"Content-Length: 2000000, 413", "Transfer-Encoding: gzip, 501", "Content-Length: x, 400"})
    void responseReachesACallerThatSendsOn(String field, int status) throws Exception {
        try (Socket socket = entry.connect()) {
            TestEntry.send(socket, HEAD + field + "\r\n\r\n");
            for (int i = 0; i < PIECES; i++) {
                TestEntry.send(socket, PIECE);
            }
            assertThat(TestEntry.read(socket, "")).startsWith("HTTP/1.1 " + status);
        }
    }
}
