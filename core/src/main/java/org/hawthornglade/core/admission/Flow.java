package org.hawthornglade.core.admission;

import java.util.Comparator;
import java.util.TreeSet;
import org.hawthornglade.core.id.OrganisationId;
import org.hawthornglade.core.id.ServiceClass;

/** Holds the requests of one service class and one organisation for one model, earliest deadline first. */
final class Flow {
    private static final Comparator<WaitingRequest> EARLIEST_DEADLINE = Comparator.comparingLong(
                    WaitingRequest::deadlineAtMs)
            .thenComparingLong(WaitingRequest::arrivedAtMs)
            .thenComparing(request -> request.id().value());
    // Counting further costs more than the more exact prediction is worth.
    private static final int MAX_COUNTED = 256;

    final Key key;
    final TreeSet<WaitingRequest> requests = new TreeSet<>(EARLIEST_DEADLINE);
    double weight;
    // The virtual time of the model at which the next request of the flow is due for dispatch.
    double startTag;

    Flow(Key key, double weight) {
        this.key = key;
        this.weight = weight;
    }

    /**
     * Returns how many requests of this flow are dispatched before one that is not in it yet.
     *
     * <p>All requests of the flow count if that is true of {@link #MAX_COUNTED} or more.
     */
    int countBefore(WaitingRequest request) {
        if (requests.isEmpty() || EARLIEST_DEADLINE.compare(requests.last(), request) < 0) {
            return requests.size();
        }
        int count = 0;
        for (WaitingRequest other : requests) {
            if (EARLIEST_DEADLINE.compare(other, request) >= 0) {
                return count;
            }
            if (++count >= MAX_COUNTED) {
                return requests.size();
            }
        }
        return count;
    }

    /** Returns the request with the earliest deadline that has not passed; null if there is none. */
    WaitingRequest firstUnexpired(long nowMs) {
        for (WaitingRequest request : requests) {
            if (request.deadlineAtMs() > nowMs) {
                return request;
            }
        }
        return null;
    }

    /** Identifies a flow. */
    record Key(ServiceClass serviceClass, OrganisationId organisation) implements Comparable<Key> {
        private static final Comparator<Key> ORDER = Comparator.comparing(
                        (Key key) -> key.serviceClass().value())
                .thenComparing(key -> key.organisation().value());

        @Override
        public int compareTo(Key other) {
            return ORDER.compare(this, other);
        }
    }
}
