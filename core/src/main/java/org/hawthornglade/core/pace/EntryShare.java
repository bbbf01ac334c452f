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
    /** The same where too many calls crash a server: the last drawing's calls are in a report by then. */
    static final long CRASH_DRAW_INTERVAL_MS = 600;
    /** Share of the free room that is drawn for where too many calls crash a server, as the sum varies. */
    private static final double CRASH_ROOM_SHARE = 0.75;
    /** Calls that are not drawn for where too many calls crash a server: the sum varies most where room is little. */
    private static final double CRASH_ROOM_MARGIN = 0.5;
    /** Least share of the entries that is assumed to contend where too many calls crash a server. */
    private static final double CRASH_MIN_CONTENDERS = 0.5;
    /** Part of the drawn room whose use shows that the entries still contend, where too many calls crash a server. */
    private static final double CRASH_USED_SHARE = 0.25;

    private static final double MAX_CHANGE = 2;
    /** One place in this many goes to any entry when its call ends, so that entries without a place get one. */
    private static final int RELEASE_INTERVAL = 8;
    /** Share of the entries that is assumed to contend at the start. */
    private static final double START_SHARE = 0.25;

    /** Time without a full server or a draw after which no calls are assumed to wait elsewhere; two reports. */
    private static final long UNCONTENDED_MS = 600;

    private final int slots;
    private double contenders = -1;
    private double freeAtDraw;
    private int ownAtDraw;
    private int othersAtDraw;
    private long drawnAtMs = Long.MIN_VALUE / 2;
    private int granted;
    private int started;
    private int ended;
    private long fullAtMs = -1;

    /**
     * Creates the share in a server that has just started.
     *
     * @param slots the calls that the server can run concurrently
     */
    public EntryShare(int slots) {
        this.slots = slots;
    }

    /** Forgets what is known of other entries. */
    public void restart() {
        fullAtMs = -1;
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
     * <p>Besides what is drawn, it may start as many as the server has free slots for each entry, and one if this entry
     * has neither contended nor found the server full for a while, so that a lone call does not wait.
     *
     * @param freeCalls the calls that fit in the server's limit beside those known to be in flight
     * @param own this entry's calls in flight
     * @param others the known calls of other entries
     * @param entries the number of entries, including this one
     * @param crashes whether the server crashes if too many calls are started
     * @param random differs between entries
     */
    public boolean mayStart(
            double freeCalls, int own, int others, int entries, boolean crashes, RandomGenerator random, long nowMs) {
        if (freeCalls < 1 || fullAtMs < 0) {
            fullAtMs = nowMs;
        }
        if (freeCalls < 1) {
            return false;
        }
        if (nowMs - drawnAtMs >= intervalMs(crashes)) {
            updateContenders(own, others, Math.max(1, entries), crashes, nowMs);
            boolean lone = !crashes && nowMs - Math.max(drawnAtMs, fullAtMs) >= UNCONTENDED_MS;
            boolean cautious = crashes && entries > 1;
            draw(cautious ? CRASH_ROOM_SHARE * freeCalls - CRASH_ROOM_MARGIN : freeCalls, random);
            granted = lone ? Math.max(1, granted) : granted;
            ownAtDraw = own;
            othersAtDraw = others;
            drawnAtMs = nowMs;
        }
        int ofEach = crashes ? 0 : (slots - own - others) / Math.max(1, entries);
        return started < Math.max(granted, ofEach);
    }

    private static long intervalMs(boolean crashes) {
        return crashes ? CRASH_DRAW_INTERVAL_MS : DRAW_INTERVAL_MS;
    }

    private void updateContenders(int own, int others, int entries, boolean crashes, long nowMs) {
        boolean recent = nowMs - drawnAtMs < 2 * intervalMs(crashes);
        if (contenders < 0 || (crashes && !recent)) {
            contenders = crashes ? entries : START_SHARE * entries;
        } else if (recent && freeAtDraw > 0) {
            double used = (others - othersAtDraw + own - ownAtDraw) / freeAtDraw;
            double counted = crashes && used >= CRASH_USED_SHARE ? Math.max(1, used) : used;
            contenders *= Math.max(1 / MAX_CHANGE, Math.min(MAX_CHANGE, counted));
        }
        // Calls that end and start between reports do not change their number, so that it tells nothing of contenders.
        double active = 1 + others / (double) Math.max(1, own);
        double least = crashes ? Math.max(active, CRASH_MIN_CONTENDERS * entries) : active;
        contenders = Math.min(entries, Math.max(least, contenders));
    }

    private void draw(double room, RandomGenerator random) {
        double share = room / contenders;
        granted = (int) share + (random.nextDouble() < share - (int) share ? 1 : 0);
        started = 0;
        freeAtDraw = room;
    }
}
