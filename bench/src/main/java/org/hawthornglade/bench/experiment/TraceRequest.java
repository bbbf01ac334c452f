package org.hawthornglade.bench.experiment;

import org.hawthornglade.core.admission.WaitingRequest;

/**
 * One request of a trace.
 *
 * @param request what the entry queues
 * @param entry the entry it arrives at
 * @param serviceMs how long a replica runs it, in milliseconds
 * @param prefixHash the leading part of its prompt; 0 if it shares none
 */
record TraceRequest(WaitingRequest request, int entry, long serviceMs, long prefixHash) {
    long arrivedAtMs() {
        return request.arrivedAtMs();
    }
}
