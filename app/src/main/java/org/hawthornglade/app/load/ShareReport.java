package org.hawthornglade.app.load;

/**
 * Latency that the system adds: the difference between calls through the system and direct calls in the same run.
 *
 * @param flow the flow through the system
 * @param directFlow the flow of direct calls
 * @param firstByte the differences for the first byte, percentile by percentile
 * @param all the differences for the complete response, percentile by percentile
 * @param firstByteP99Ratio the p99 of the first byte through the system divided by that of direct calls
 */
record ShareReport(String flow, String directFlow, Latencies firstByte, Latencies all, double firstByteP99Ratio) {
    static ShareReport of(FlowReport flow, FlowReport direct) {
        return new ShareReport(
                flow.name(),
                direct.name(),
                minus(flow.firstByte(), direct.firstByte()),
                minus(flow.all(), direct.all()),
                flow.firstByte().p99Ms() / Math.max(1e-3, direct.firstByte().p99Ms()));
    }

    private static Latencies minus(Latencies a, Latencies b) {
        return new Latencies(
                a.p50Ms() - b.p50Ms(),
                a.p90Ms() - b.p90Ms(),
                a.p99Ms() - b.p99Ms(),
                a.p999Ms() - b.p999Ms(),
                a.maxMs() - b.maxMs());
    }
}
