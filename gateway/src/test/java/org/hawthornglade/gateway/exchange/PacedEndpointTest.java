package org.hawthornglade.gateway.exchange;

import static com.google.common.truth.Truth.assertThat;

import org.hawthornglade.core.fleet.Endpoint;
import org.hawthornglade.core.id.InstanceId;
import org.hawthornglade.gateway.exchange.ScriptedEndpoint.ConnectionAction;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Endpoints whose responses state how long work takes there. */
class PacedEndpointTest extends ExchangeTestBase {
    private static final String HEAD = "HTTP/1.1 %STATUS%\r\nX-Request-Id: %ID%\r\nX-Signature: s\r\n";
    private static final String SLOWDOWN = TestProtocol.SLOWDOWN + ": 2.5\r\n";
    private static final String COMPLETE = HEAD.replace("%STATUS%", "200 OK") + "%LOAD%Content-Length: 5\r\n\r\nfirst";
    private static final String BUSY =
            HEAD.replace("%STATUS%", "503 Busy") + "X-Unrun: 1\r\n%LOAD%Content-Length: 0\r\n\r\n";

    private double[] limitAndStated(String id) throws Exception {
        double[] values = new double[2];
        entry.onFleet((fleet, nowMs) -> {
            Endpoint endpoint = fleet.endpoint(InstanceId.of(id)).orElseThrow();
            values[0] = endpoint.pace().limit().calls();
            values[1] = endpoint.pace().stated().ever() ? 1 : 0;
        });
        return values;
    }

    /** An endpoint that does not state it must be chosen as before, whatever its responses look like. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void pacingBeginsWithTheStatement(boolean stated) throws Exception {
        local.respond(COMPLETE.replace("%LOAD%", stated ? SLOWDOWN : ""), ConnectionAction.KEEP_OPEN);
        entry.call("/unsafe/x");
        assertThat(limitAndStated("i-0")[1]).isEqualTo(stated ? 1 : 0);
        assertThat(limitAndStated("i-1")[1]).isEqualTo(0);
    }

    /** An endpoint that refuses calls as busy was sent as many as before; operators see the change in the metrics. */
    @Test
    void limitFallsWithRefusals() throws Exception {
        double start = limitAndStated("i-0")[0];
        local.respond(BUSY.replace("%LOAD%", SLOWDOWN), ConnectionAction.KEEP_OPEN);
        remote.respond(COMPLETE.replace("%LOAD%", ""), ConnectionAction.KEEP_OPEN);
        assertThat(entry.call("/unsafe/x")).endsWith("first");
        assertThat(limitAndStated("i-0")[0]).isLessThan(start);
        assertThat(entry.metrics()).contains("hawthornglade_pace_limits_lowered_total 1.0");
    }

    /** A call went to an endpoint that works 2.5 times as long as another one. */
    @Test
    void slowEndpointIsAvoided() throws Exception {
        local.respond(BUSY.replace("%LOAD%", SLOWDOWN), ConnectionAction.KEEP_OPEN);
        remote.respond(COMPLETE.replace("%LOAD%", ""), ConnectionAction.KEEP_OPEN);
        entry.call("/unsafe/x");
        remote.respond(COMPLETE.replace("%LOAD%", ""), ConnectionAction.KEEP_OPEN);
        assertThat(entry.call("/unsafe/x")).endsWith("first");
        assertThat(local.unreadRequests()).isEqualTo(1);
    }
}
