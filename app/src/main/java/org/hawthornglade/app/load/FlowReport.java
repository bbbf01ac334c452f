package org.hawthornglade.app.load;

import java.util.Map;

/**
 * What became of the requests of one flow after the warm-up.
 *
 * @param name the flow
 * @param serviceClass its class
 * @param sent how many were sent
 * @param whole how many were answered whole
 * @param onTime how many of these by their deadline
 * @param wrong how many were answered, but not whole or not to their own request
 * @param lost how many had no answer, or one that broke off
 * @param unanswered how many were still open when the run ended
 * @param refusals how many were refused, by result code
 * @param firstByte from when a request was due to the first byte of its answer
 * @param all from when a request was due to the end of its answer
 * @param details what was said of those that were not answered whole, and how often
 */
record FlowReport(
        String name,
        String serviceClass,
        int sent,
        int whole,
        int onTime,
        int wrong,
        int lost,
        int unanswered,
        Map<Integer, Integer> refusals,
        Latencies firstByte,
        Latencies all,
        Map<String, Integer> details) {}
