package org.hawthornglade.core.limit;

import org.hawthornglade.core.notice.AdvertisedLimit;

/**
 * Converts times of another entry's steady clock to the local steady clock.
 *
 * <p>The offset is estimated from the message with the shortest transit on the connection, so that a delayed message
 * does not appear newer than it is.
 */
final class PeerClock {
    /** Maximum error of a converted time, in milliseconds. */
    private static final long ERROR_MARGIN_MS = 50;

    private long offsetMs = Long.MAX_VALUE;

    /** Updates the offset estimate from a message sent at {@code sentThereMs} on the peer's clock. */
    void onMessage(long sentThereMs, long nowMs) {
        offsetMs = Math.min(offsetMs, nowMs - sentThereMs);
    }

    /** Returns a limit with times on the local clock; where the order is uncertain it counts as older than another. */
    AdvertisedLimit toLocal(AdvertisedLimit limit) {
        return new AdvertisedLimit(
                limit.perSecond(), limit.sentAtMs() + offsetMs - ERROR_MARGIN_MS, limit.receivedAtMs() + offsetMs);
    }
}
