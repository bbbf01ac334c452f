package org.hawthornglade.gateway.exchange;

import static com.google.common.truth.Truth.assertThat;

import java.net.Socket;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.hawthornglade.gateway.exchange.ScriptedEndpoint.ConnectionAction;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Calls that wait for room, over sockets. */
class OrderOfWaitingCallsTest extends FullEndpointsTestBase {
    private final List<Socket> callers = new ArrayList<>();

    @AfterEach
    void closeCallers() throws Exception {
        for (Socket caller : callers) {
            caller.close();
        }
    }

    private Socket newCaller() throws Exception {
        Socket caller = entry.connect();
        callers.add(caller);
        return caller;
    }

    private void callAndWait(Socket caller, String path, String id) throws Exception {
        TestEntry.send(caller, TestEntry.post(path, id, "hello"));
        long endNs = System.nanoTime() + Duration.ofSeconds(3).toNanos();
        while (!entry.idsOfWaitingCalls().contains(id) && System.nanoTime() < endNs) {
            Thread.onSpinWait();
        }
    }

    private Socket refusedCaller() throws Exception {
        entry.enableOverloadControl(SLOW_CALL_MS);
        fill(SLOTS);
        Socket caller = newCaller();
        TestEntry.send(caller, TestEntry.post("/safe/x", "refused", "hello"));
        assertThat(TestEntry.read(caller, "}}\n")).contains("Retry-After: 6250");
        return caller;
    }

    /**
     * A call with much time went before one with little time, since it had arrived first; without teams, settings or
     * statements of servers that must remain so.
     */
    @ParameterizedTest
    @CsvSource({"false, patient safe", "true, safe patient"})
    void urgentCallGoesFirstOnlyWhereEarlyRefusalIsActive(boolean active, String order) throws Exception {
        entry.setOverloadControl(active, QUICK_CALL_MS);
        fill(SLOTS);
        callAndWait(newCaller(), "/patient/x", "patient");
        callAndWait(newCaller(), "/safe/x", "safe");
        assertThat(String.join(" ", entry.idsOfWaitingCalls())).isEqualTo(order);
    }

    /** A caller that came back at once had the same place as those that had waited, and displaced later ones. */
    @Test
    void callerThatComesBackTooEarlyGoesAfterOthers() throws Exception {
        Socket early = refusedCaller();
        entry.enableOverloadControl(QUICK_CALL_MS);
        callAndWait(newCaller(), "/safe/x", "first");
        callAndWait(early, "/safe/x", "early");
        callAndWait(newCaller(), "/safe/x", "second");
        assertThat(entry.idsOfWaitingCalls())
                .containsExactly("first", "second", "early")
                .inOrder();
        assertThat(entry.metrics()).contains("calls_before_retry_after");
    }

    /** A caller that comes back too early must not be refused or made to wait for this alone. */
    @Test
    void callerThatComesBackTooEarlyIsServedWhileThereIsRoom() throws Exception {
        Socket early = refusedCaller();
        fill(0);
        local.respond(COMPLETE, ConnectionAction.CLOSE);
        TestEntry.send(early, TestEntry.post("/safe/x", "early", "hello"));
        assertThat(TestEntry.read(early, "first")).startsWith("HTTP/1.1 200 ");
    }

    /** Where servers state how long work takes, calls waited until their deadlines unless there were teams. */
    @Test
    void statementOfAServerActivatesEarlyRefusal() throws Exception {
        entry.setOverloadControl(false, SLOW_CALL_MS);
        fill(SLOTS);
        entry.onFleet((fleet, nowMs) ->
                fleet.usable(TestEntry.SERVICE).get(0).pace().stated().onStated(1, nowMs));
        assertThat(entry.call("/unsafe/x")).contains("\"code\":2002");
    }
}
