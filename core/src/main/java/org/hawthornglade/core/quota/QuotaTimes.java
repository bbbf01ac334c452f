package org.hawthornglade.core.quota;

/** The times after which shares of quotas change without a message. */
final class QuotaTimes {
    /** An entry that has sent no report for this long is considered silent by the leader, in milliseconds. */
    static final long SILENT_MS = 500;
    /** An entry that has received no answer for this long uses its share; longer than {@link #SILENT_MS}. */
    static final long ALONE_MS = 600;
    /** How long granted units can be used, from the report that the leader answered. */
    static final long STOCK_VALID_MS = 1_000;
    /** How long a share can be used, from the report that the leader answered; covers a change of the leader. */
    static final long SHARE_VALID_MS = 4_000;
    /** How long an entry without a leader uses an equal part of a reduced rate, as the leader holds it back. */
    static final long EQUAL_SHARE_VALID_MS = 60_000;
    /** How much longer the leader holds back a share than the entry can use it. */
    static final long HOLD_MARGIN_MS = 500;
    /** Part of the quota for all entries whose shares have expired; the usual demand is 1/1.8 of a quota. */
    static final double EQUAL_SHARE = 0.6;
    /**
     * Largest share of one entry, as a multiple of an even one. It bounds what must be held back for entries that have
     * not been heard, and is enough for 3.6 times the mean of the usual demand.
     */
    static final double MAX_EVEN_SHARES = 2;
    /** Part of the quota that is not held back for entries which have been without a leader for longer. */
    static final double LAST_SHARE = 0.05;

    /** An entry asks the leader again at most this often for units that it could not grant, in milliseconds. */
    static final long ASK_AGAIN_MS = 250;

    /** Longest time that a refused caller is told, in milliseconds: longer than callers wait for their calls. */
    static final long MAX_RETRY_AFTER_MS = 60_000;
    /** Longest time that it is told by an entry without a leader, since there may be one sooner, in milliseconds. */
    static final long MAX_ALONE_RETRY_AFTER_MS = 8_000;

    private QuotaTimes() {}
}
