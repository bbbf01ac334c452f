package org.hawthornglade.app.load;

import java.net.URI;
import java.util.List;

/** Creates load flows and settings for tests. */
final class TestFlows {
    static final URI UNREACHABLE = URI.create("http://127.0.0.1:1");
    static final int TOKENS = 3;

    private TestFlows() {}

    static LoadFlow chat(String name, double ratePerSecond, boolean stream) {
        return flow(name, FlowKind.DIRECT_CHAT, ratePerSecond, 0, 0, stream);
    }

    static LoadFlow bursts(String name, long everyMs, int requests) {
        return flow(name, FlowKind.CHAT, 0, everyMs, requests, true);
    }

    static LoadFlow service(String name, double ratePerSecond) {
        return flow(name, FlowKind.SERVICE, ratePerSecond, 0, 0, false);
    }

    private static LoadFlow flow(
            String name, FlowKind kind, double rate, long burstEveryMs, int burstRequests, boolean stream) {
        return new LoadFlow(
                name,
                kind,
                null,
                "key",
                List.of("guide", "quick"),
                "orders",
                null,
                "/orders/",
                false,
                rate,
                burstEveryMs,
                burstRequests,
                stream,
                TOKENS,
                0,
                0,
                null);
    }

    static LoadSettings settings(URI address, long durationMs, LoadFlow... flows) {
        return new LoadSettings(List.of(address), address, List.of(), 7, 0, durationMs, 0, List.of(flows));
    }
}
