package org.hawthornglade.bench.experiment;

import org.hawthornglade.core.admission.WaitingRequest;

/**
 * One request of a trace.
 *
 * @param request the request as the entry queues it
 * @param entry the index of the entry at which it arrives
 * @param serviceMs its running time on a replica, in milliseconds
 * @param prefixHash the hash of its prompt prefix; 0 if it shares none
 */
record TraceRequest(WaitingRequest request, int entry, long serviceMs, long prefixHash) {
    long arrivedAtMs() {
        return request.arrivedAtMs();
    }
}
