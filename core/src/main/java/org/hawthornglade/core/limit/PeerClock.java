package org.hawthornglade.core.limit;

import org.hawthornglade.core.notice.AdvertisedLimit;

/**
 * Turns times of another entry's steady clock into this one's.
 *
 * <p>The fastest message of a connection tells how far the clocks are apart. A message that was held up on its way
 * therefore does not look newer than it is.
 */
final class PeerClock {
    /** By how much a turned time may be wrong, in milliseconds. */
    private static final long ERROR_MARGIN_MS = 50;

    private long offsetMs = Long.MAX_VALUE;

    /** Takes note of a message. */
    void onMessage(long sentThereMs, long nowMs) {
        offsetMs = Math.min(offsetMs, nowMs - sentThereMs);
    }

    /** Returns a word with this clock's times; it counts as older than another where that is not sure. */
    AdvertisedLimit toLocal(AdvertisedLimit word) {
        return new AdvertisedLimit(word.perSecond(), word.sentAtMs() + offsetMs - ERROR_MARGIN_MS, word.receivedAtMs() + offsetMs);
    }
}
