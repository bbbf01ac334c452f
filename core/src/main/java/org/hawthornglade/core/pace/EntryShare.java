package org.hawthornglade.core.pace;

import java.util.random.RandomGenerator;

/**
 * Divides the free room of a server among the entries that want it, without messages.
 *
 * <p>All entries get the same reports of the calls in flight. From one to the next, each draws whether it may start a
 * call that has waited, with a probability that makes the expected sum over all contending entries the free room. How
 * many contend is estimated from what was started between reports, as stations on a shared medium do.
 */
public final class EntryShare {
    /** Time after which an entry draws again although no report has arrived; the leader's heartbeat interval. */
    static final long DRAW_INTERVAL_MS = 300;

    private static final double MAX_CHANGE = 2;
    /** One place in this many goes to any entry when its call ends, so that entries without a place get one. */
    private static final int RELEASE_INTERVAL = 8;
    /** Share of the entries that is assumed to contend at the start. */
    private static final double START_SHARE = 0.25;

    private double contenders = -1;
    private double freeAtDraw;
    private int ownAtDraw;
    private int othersAtDraw;
    private long drawnAtMs = Long.MIN_VALUE / 2;
    private int granted;
    private int started;
    private int ended;

    /** Forgets what is known of other entries. */
    public void restart() {
        contenders = -1;
        drawnAtMs = Long.MIN_VALUE / 2;
    }

    /** Records that this entry has started a call. */
    public void onStarted() {
        started++;
    }

    /** Records that a call of this entry has ended; mostly this entry may start another one in its place. */
    public void onEnded() {
        ended++;
        if (ended % RELEASE_INTERVAL != 0) {
            granted++;
        }
    }

    /**
     * Returns whether this entry may start a call that has waited.
     *
     * @param freeCalls the calls that fit in the server's limit beside those known to be in flight
     * @param own this entry's calls in flight
     * @param others the known calls of other entries
     * @param entries the number of entries, including this one
     * @param random differs between entries
     */
    public boolean mayStart(double freeCalls, int own, int others, int entries, RandomGenerator random, long nowMs) {
        if (freeCalls < 1) {
            return false;
        }
        if (nowMs - drawnAtMs >= DRAW_INTERVAL_MS) {
            draw(freeCalls, own, others, Math.max(1, entries), random, nowMs);
        }
        return started < granted;
    }

    private void draw(double freeCalls, int own, int others, int entries, RandomGenerator random, long nowMs) {
        boolean recent = nowMs - drawnAtMs < 2 * DRAW_INTERVAL_MS;
        if (contenders < 0) {
            contenders = Math.max(1, START_SHARE * entries);
        } else if (recent && freeAtDraw >= 1) {
            double used = (others - othersAtDraw + own - ownAtDraw) / freeAtDraw;
            contenders *= Math.max(1 / MAX_CHANGE, Math.min(MAX_CHANGE, used));
        }
        // Calls that end and start between reports do not change their number, so that it tells nothing of contenders.
        double active = 1 + others / (double) Math.max(1, own);
        contenders = Math.min(entries, Math.max(active, contenders));
        double share = freeCalls / contenders;
        granted = (int) share + (random.nextDouble() < share - (int) share ? 1 : 0);
        started = 0;
        freeAtDraw = freeCalls;
        ownAtDraw = own;
        othersAtDraw = others;
        drawnAtMs = nowMs;
    }
}
