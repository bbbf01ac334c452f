package org.hawthornglade.gateway.http;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import org.hawthornglade.gateway.memory.BodyReservation;

/** The complete requests of one connection that have no response yet: the one that is handled and those behind it. */
final class CallQueue {
    private final Deque<ReceivedCall> waiting = new ArrayDeque<>();
    private Optional<ReceivedCall> current = Optional.empty();
    private int waitingHeapBytes;

    /**
     * A request with a response that is due.
     *
     * @param reservation the memory of its body; empty if it is refused before its body was read
     * @param refusal why it is refused before its body was read; empty if it was read
     * @param headHeapBytes the estimated heap of its head
     */
    record ReceivedCall(
            IncomingCall call, Optional<BodyReservation> reservation, Optional<UnreadBody> refusal, int headHeapBytes) {
        /** Returns what is known of the request if it ends without being handled. */
        UnfinishedRequest unfinished(UnfinishedRequest.End end, long nowMs) {
            int bodyBytes = call.body().readableBytes();
            return new UnfinishedRequest(Optional.of(call.head()), end, 0, bodyBytes, nowMs - call.arrivedAtMs());
        }

        void release() {
            call.body().release();
            reservation.ifPresent(BodyReservation::release);
        }
    }

    void add(ReceivedCall call) {
        waitingHeapBytes += call.headHeapBytes();
        waiting.add(call);
    }

    /** Makes the next request the current one; there must be one, and no current one. */
    ReceivedCall startNext() {
        ReceivedCall next = waiting.remove();
        waitingHeapBytes -= next.headHeapBytes();
        current = Optional.of(next);
        return next;
    }

    /** Ends the current request, if there is one, and releases its memory. */
    void finishCurrent() {
        current.ifPresent(ReceivedCall::release);
        current = Optional.empty();
    }

    /** Returns the requests behind the current one. */
    Collection<ReceivedCall> waiting() {
        return Collections.unmodifiableCollection(waiting);
    }

    /** Removes the requests behind the current one, and returns them. */
    List<ReceivedCall> removeWaiting() {
        List<ReceivedCall> removed = new ArrayList<>(waiting);
        waiting.clear();
        waitingHeapBytes = 0;
        return removed;
    }

    Optional<ReceivedCall> current() {
        return current;
    }

    /** Returns whether a request waits behind the current one, or could be made the current one. */
    boolean hasWaiting() {
        return !waiting.isEmpty();
    }

    int waitingCount() {
        return waiting.size();
    }

    /** Returns how many requests have no response yet. */
    int size() {
        return waiting.size() + (current.isPresent() ? 1 : 0);
    }

    boolean isEmpty() {
        return current.isEmpty() && waiting.isEmpty();
    }

    /** Returns the estimated heap of the heads that wait, in bytes. */
    int waitingHeapBytes() {
        return waitingHeapBytes;
    }
}
