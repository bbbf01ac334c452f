package org.hawthornglade.gateway.exchange;

import static com.google.common.truth.Truth.assertThat;

import java.net.Socket;
import java.time.Duration;
import org.hawthornglade.gateway.exchange.ScriptedEndpoint.ConnectionAction;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Calls for which no endpoint has room; over sockets. */
class EarlyRefusalTest extends FullEndpointsTestBase {
    /** A call that could not start in time was held until its deadline, and then told nothing of when to return. */
    @Test
    void callThatWouldStartTooLateIsRefusedAtOnce() throws Exception {
        entry.enableOverloadControl(SLOW_CALL_MS);
        fill(SLOTS);
        String received = entry.call("/unsafe/x");
        assertThat(received).startsWith("HTTP/1.1 503 ");
        assertThat(received).contains("\"code\":2002");
        assertThat(received).contains("Retry-After: 6250");
        awaitLog("event=call-late");
        assertThat(entry.log()).containsMatch("start_ms=6250 left_ms=\\d+");
        assertThat(local.unreadRequests() + remote.unreadRequests()).isEqualTo(0);
    }

    private void awaitLog(String text) throws Exception {
        long endNs = System.nanoTime() + Duration.ofSeconds(5).toNanos();
        while (!entry.log().contains(text) && System.nanoTime() < endNs) {
            entry.metrics();
        }
        assertThat(entry.log()).contains(text);
    }

    /** A call must not be refused while an endpoint has room, however slow it has been. */
    @Test
    void callIsSentWhileAnEndpointHasRoom() throws Exception {
        entry.enableOverloadControl(SLOW_CALL_MS);
        fill(SLOTS - 1);
        local.respond(COMPLETE, ConnectionAction.CLOSE);
        remote.respond(COMPLETE, ConnectionAction.CLOSE);
        assertThat(entry.call("/safe/x")).startsWith("HTTP/1.1 200 ");
    }

    /** Without the setting, and where room is expected in time, calls wait as before. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void otherCallsWait(boolean enabled) throws Exception {
        if (enabled) {
            entry.enableOverloadControl(QUICK_CALL_MS);
        }
        fill(SLOTS);
        try (Socket caller = entry.connect()) {
            TestEntry.send(caller, TestEntry.post("/safe/x", "r-1", "hello"));
            awaitWaiting();
            assertThat(entry.waiting()).isEqualTo(1);
        }
    }

    private void awaitWaiting() throws Exception {
        long endNs = System.nanoTime() + Duration.ofSeconds(3).toNanos();
        while (entry.waiting() == 0 && System.nanoTime() < endNs) {
            Thread.onSpinWait();
        }
    }
}
