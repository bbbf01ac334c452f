package org.hawthornglade.core.caller;

/**
 * Measures whether a body arrives at a minimum rate, counted from when it is larger than what is always kept.
 *
 * <p>The bytes of a window must arrive within it; the next window starts when they have. A small body has no rate: it
 * takes little memory, and may be sent byte by byte until its deadline.
 */
public final class TransferRate {
    /**
     * A sender may pause for less than this: TCP takes 3 s for four retransmissions in a row, and a steady sender of a
     * large body takes 15 s for all of it.
     */
    public static final long WINDOW_MS = 5_000;
    /** A body up to this size is small. */
    public static final long MAX_SMALL_BODY_BYTES = 65_536;

    private static final long MS_PER_S = 1_000;

    private final long minBytesPerS;
    private boolean large;
    private long totalBytes;
    private long windowStartMs;
    private long windowBytes;

    /**
     * Creates a measurement at the start of a body.
     *
     * @param minBytesPerS the minimum rate; 0 for none
     * @param announcedBytes the length of the body; 0 if it is not known
     * @param nowMs the current time
     */
    public TransferRate(long minBytesPerS, long announcedBytes, long nowMs) {
        this.minBytesPerS = minBytesPerS;
        this.large = announcedBytes > MAX_SMALL_BODY_BYTES;
        this.windowStartMs = nowMs;
    }

    /** Counts received bytes. */
    public void onReceived(int bytes, long nowMs) {
        totalBytes += bytes;
        windowBytes += bytes;
        boolean becomesLarge = !large && totalBytes > MAX_SMALL_BODY_BYTES;
        if (becomesLarge || windowBytes >= requiredBytes()) {
            large |= becomesLarge;
            startWindow(nowMs);
        }
    }

    /** Starts a new window, because the sender could not send until now. */
    public void startWindow(long nowMs) {
        windowStartMs = nowMs;
        windowBytes = 0;
    }

    /** Returns whether the bytes of the window have not arrived within it. */
    public boolean tooSlow(long nowMs) {
        return large && minBytesPerS > 0 && nowMs - windowStartMs > WINDOW_MS;
    }

    /** Returns how many bytes of the window have arrived. */
    public long windowBytes() {
        return windowBytes;
    }

    /** Returns how many bytes must arrive within a window. */
    public long requiredBytes() {
        return minBytesPerS * WINDOW_MS / MS_PER_S;
    }
}
