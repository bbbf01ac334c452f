package org.hawthornglade.app.load;

import java.util.Map;

/**
 * Outcome of the requests of one flow after the warm-up; latencies count from when a request was due.
 *
 * @param name the name of the flow
 * @param serviceClass the service class of the flow
 * @param sent number of requests sent
 * @param whole number of complete responses
 * @param onTime number of complete responses within the deadline
 * @param wrong number of successful responses that were incomplete or belonged to another request
 * @param lost number of requests without a response or with one that broke off
 * @param unanswered number of requests still open at the end of the run
 * @param refusals number of rejected requests by result code
 * @param firstByte latencies up to the first byte of the response
 * @param all latencies up to the end of the response
 * @param details descriptions of the outcomes other than a complete response, with their counts
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
