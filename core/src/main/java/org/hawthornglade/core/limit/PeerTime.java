package org.hawthornglade.core.limit;

import org.hawthornglade.core.notice.LimitWord;

/**
 * Turns times of another entry's steady clock into this one's.
 *
 * <p>The fastest message of a connection tells how far the clocks are apart. A message that was held up on its way
 * therefore does not look newer than it is.
 */
final class PeerTime {
    /** By how much a turned time may be wrong, in milliseconds. */
    private static final long MARGIN_MS = 50;

    private long aheadMs = Long.MAX_VALUE;

    /** Takes note of a message. */
    void onMessage(long sentThereMs, long nowMs) {
        aheadMs = Math.min(aheadMs, nowMs - sentThereMs);
    }

    /** Returns a word with this clock's times; it counts as older than another where that is not sure. */
    LimitWord here(LimitWord word) {
        return new LimitWord(word.perSecond(), word.sentAtMs() + aheadMs - MARGIN_MS, word.heardAtMs() + aheadMs);
    }
}
