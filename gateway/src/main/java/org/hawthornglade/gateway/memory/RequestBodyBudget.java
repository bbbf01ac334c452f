package org.hawthornglade.gateway.memory;

import io.netty.util.internal.PlatformDependent;
import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.OptionalLong;
import java.util.Set;
import org.hawthornglade.core.time.Clock;

/**
 * Limits the memory for the bodies of callers' requests, from their first byte to the end of their calls.
 *
 * <p>Small bodies are always read. A large one is read on only with memory reserved for its next bytes; else it waits,
 * in the order in which the large ones began, for what it lacks to its end. The oldest of them may use a part that the
 * others may not, so that at least one can be read to its end and half-read bodies never block each other for good.
 * What was read of a large one before memory was granted to it takes up to half of the part for small ones.
 *
 * <p>Used on the event loop only.
 */
public final class RequestBodyBudget {
    /** No single read from a connection brings more. */
    public static final int MAX_READ_BYTES = 65_536;
    /** A body up to this size is small. */
    private static final int MAX_SMALL_BODY_BYTES = 65_536;
    /** Limit for all bodies of an entry together. */
    private static final long MAX_BYTES = 58_720_256;
    /** The share of the limit that only small bodies and the first reads of large ones may use. */
    private static final double SMALL_BODIES_SHARE = 0.125;
    /** The share of the direct memory of the process that the limit may take at most. */
    private static final double MAX_DIRECT_MEMORY_SHARE = 0.6;
    /**
     * A body that was not read for this long in all is refused.
     *
     * <p>One whose length is not known waits before each of its reads; a limit for each wait would not bound its time.
     */
    public static final long MAX_WAIT_MS = 2_000;

    private final long maxBytes;
    private final long smallBodiesBytes;
    private final Clock clock;
    private final BodyPressureListener listener;
    /** The large bodies that are not complete, in the order in which they began. */
    private final Set<BodyReservation> large = new LinkedHashSet<>();

    private long reservedBytes;
    /** The part of it that is for bytes of large bodies that were read before memory was granted to them. */
    private long earlyBytes;

    private long largestBodyBytes;
    private int waiting;

    /**
     * Creates a budget of which nothing is reserved.
     *
     * @param maxBytes the limit for all bodies together
     * @param listener is told which bodies are held back and refused
     */
    public RequestBodyBudget(long maxBytes, Clock clock, BodyPressureListener listener) {
        this.maxBytes = maxBytes;
        this.smallBodiesBytes = (long) (maxBytes * SMALL_BODIES_SHARE);
        this.clock = clock;
        this.listener = listener;
    }

    /** Creates the budget of an entry, within its share of the memory for buffers that the process may use. */
    public static RequestBodyBudget ofEntry(Clock clock, BodyPressureListener listener) {
        long shareBytes = (long) (PlatformDependent.maxDirectMemory() * MAX_DIRECT_MEMORY_SHARE);
        return new RequestBodyBudget(Math.min(MAX_BYTES, shareBytes), clock, listener);
    }

    /**
     * Starts a reservation of which nothing is reserved yet.
     *
     * @param announcedBytes the length of the body, if it is known
     * @param largestBytes the largest body that callers may send
     */
    public BodyReservation open(OptionalLong announcedBytes, long largestBytes, BodyReader reader) {
        largestBodyBytes = Math.min(largestBytes, largeBodiesBytes() / 2);
        BodyReservation opened =
                new BodyReservation(this, announcedBytes.orElse(largestBytes), announcedBytes.isPresent(), reader);
        if (announcedBytes.isPresent() && announcedBytes.getAsLong() > MAX_SMALL_BODY_BYTES) {
            markLarge(opened);
        }
        return opened;
    }

    /** Returns whether a body of this length can ever be read. */
    public boolean fits(long bytes) {
        return bytes <= largeBodiesBytes();
    }

    /** Returns the number of bytes that are reserved now. */
    public long reservedBytes() {
        return reservedBytes;
    }

    /** Returns how many bodies are not read on for now. */
    public int waiting() {
        return waiting;
    }

    /** Refuses the bodies that have waited too long, the newest first, so that what they held lets older ones go on. */
    public void refuseOverdue() {
        long nowMs = clock.nowMs();
        List<BodyReservation> newestFirst = new ArrayList<>(large);
        Collections.reverse(newestFirst);
        for (BodyReservation body : newestFirst) {
            if (body.hasWaited(MAX_WAIT_MS, nowMs)) {
                body.reader().refuseOverdue();
            }
        }
    }

    /** Reports that a body is refused; its reservation is released by its connection. */
    public void reportRefused(BodyReservation body) {
        listener.onRefused(reservedBytes, body.receivedBytes());
    }

    boolean tryReceive(BodyReservation body, int bytes) {
        long receivedBytes = body.receivedBytes() + bytes;
        if (receivedBytes > MAX_SMALL_BODY_BYTES && !body.large()) {
            markLarge(body);
        }
        long lackingBytes = receivedBytes - body.reservedBytes();
        if (lackingBytes > 0 && !tryReserveReceived(body, lackingBytes)) {
            return false;
        }
        body.addReceived(bytes);
        return true;
    }

    private boolean tryReserveReceived(BodyReservation body, long bytes) {
        if (!body.large()) {
            return tryReserve(body, bytes);
        }
        return (waiting == 0 && tryGrant(body, bytes)) || tryReserveEarly(body, bytes);
    }

    /** Reserves memory for bytes of a large body that were read before it was known to be large, or to have to wait. */
    private boolean tryReserveEarly(BodyReservation body, long bytes) {
        long becomeEarlyBytes = bytes + body.reservedBytes() - body.earlyBytes();
        if (earlyBytes + becomeEarlyBytes > smallBodiesBytes / 2 || !tryReserve(body, bytes)) {
            return false;
        }
        earlyBytes += becomeEarlyBytes;
        body.setEarly(body.earlyBytes() + becomeEarlyBytes);
        return true;
    }

    /** Reserves memory for the next bytes of a large body, and for its early ones, within the part for large bodies. */
    private boolean tryGrant(BodyReservation body, long bytes) {
        long othersEarlyBytes = earlyBytes - body.earlyBytes();
        boolean withinPart = reservedBytes - othersEarlyBytes + bytes <= maxBytes - keepFreeBytes(body);
        if (!withinPart || !tryReserve(body, bytes)) {
            return false;
        }
        clearEarly(body);
        return true;
    }

    private void clearEarly(BodyReservation body) {
        earlyBytes -= body.earlyBytes();
        body.setEarly(0);
    }

    boolean tryReadOn(BodyReservation body) {
        if (!body.large() || body.bytesForNextRead() <= 0) {
            return !body.waiting();
        }
        if (body.waiting()) {
            return false;
        }
        if (waiting == 0 && tryGrant(body, body.bytesForNextRead())) {
            return true;
        }
        body.startWaiting(clock.nowMs());
        waiting++;
        listener.onHeldBack(reservedBytes, waiting);
        resumeWaiting();
        return !body.waiting();
    }

    void complete(BodyReservation body) {
        reservedBytes -= body.reservedBytes() - body.receivedBytes();
        body.setReserved(body.receivedBytes());
        endReading(body);
    }

    void release(BodyReservation body) {
        reservedBytes -= body.reservedBytes();
        body.setReserved(0);
        endReading(body);
    }

    private void endReading(BodyReservation body) {
        clearEarly(body);
        large.remove(body);
        stopWaiting(body);
        resumeWaiting();
    }

    private void stopWaiting(BodyReservation body) {
        if (body.waiting()) {
            body.stopWaiting(clock.nowMs());
            waiting--;
        }
    }

    /** Lets the oldest waiting bodies go on, as far as all that they lack is available. */
    private void resumeWaiting() {
        if (waiting == 0) {
            return;
        }
        for (BodyReservation body : List.copyOf(large)) {
            if (!body.waiting()) {
                continue;
            }
            if (!tryGrant(body, body.bytesToEnd())) {
                return;
            }
            stopWaiting(body);
            body.reader().readOn();
        }
    }

    private void markLarge(BodyReservation body) {
        body.setLarge();
        large.add(body);
    }

    private long keepFreeBytes(BodyReservation body) {
        boolean oldest = large.iterator().next() == body;
        return oldest ? smallBodiesBytes : smallBodiesBytes + largestBodyBytes;
    }

    private long largeBodiesBytes() {
        return maxBytes - smallBodiesBytes;
    }

    private boolean tryReserve(BodyReservation body, long bytes) {
        if (reservedBytes + bytes > maxBytes) {
            return false;
        }
        reservedBytes += bytes;
        body.setReserved(body.reservedBytes() + bytes);
        return true;
    }
}
