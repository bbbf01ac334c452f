package org.hawthornglade.gateway.exchange;

import static com.google.common.truth.Truth.assertThat;

import java.net.Socket;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Requests that an entry has begun to read, and that never become calls. */
class UnfinishedRequestTest extends ExchangeTestBase {
    private static final String HEAD = "POST /safe/x HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: r-1\r\n";
    private static final String LENGTH = "Content-Length: 10\r\n\r\n";
    private static final String CHUNKED = "Transfer-Encoding: chunked\r\n\r\n";

    /** Guards against requests that an entry has begun to read and of which no line tells anything. */
    @ParameterizedTest(name = "{0}")
    @CsvSource({
        "length, , disconnected, 5",
        "chunks, , disconnected, 3",
        "chunks, stop, cut_by_stop, 3",
        "invalid chunk, , refused, 0",
        "too long, , refused, 0",
    })
    void requestWithoutWholeBodyIsLogged(String body, String event, String end, int bodyBytes) throws Exception {
        String sent =
                switch (body) {
                    case "length" -> LENGTH + "hello";
                    case "chunks" -> CHUNKED + "3\r\nabc\r\n";
                    case "too long" -> "Content-Length: 1000000\r\n\r\n";
                    default -> CHUNKED + "x\r\n";
                };
        String line = " request=r-1 end=" + end;
        try (Socket socket = entry.connect()) {
            TestEntry.send(socket, HEAD + sent);
            await(() -> entry.bodiesBegun() == 1 || entry.log().contains(line));
            if (event != null) {
                entry.reportCutByStop();
            }
        }
        await(() -> entry.log().contains(line));
        assertThat(entry.log()).containsMatch(line + " status=[0-9]+ body_bytes=" + bodyBytes);
    }

    /** The same for a request of which nothing is known yet, so that it can only be counted. */
    @ParameterizedTest
    @CsvSource({"P", "POST /safe/x HTTP/1.1", "POST /safe/x HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: r-1"})
    void requestWithoutWholeHeadIsCounted(String sent) throws Exception {
        try (Socket socket = entry.connect()) {
            TestEntry.send(socket, sent);
            await(() -> entry.openWork().partialRequests() == 1);
        }
        await(() -> entry.unidentified().contains(" unidentified_disconnected=1"));
        assertThat(entry.log()).doesNotContain("request-unfinished");
    }
}
