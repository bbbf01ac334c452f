package org.hawthornglade.core.quota;

/**
 * By how much the use of a quota may exceed it, over all entries.
 *
 * @param windowMs the length of the sliding window in which use is counted
 * @param overShare the allowed excess as a share of what the quota gives in a window
 * @param slackUnits the allowed excess beyond that
 */
public record QuotaTolerance(long windowMs, double overShare, double slackUnits) {
    /** The tolerance of a deployment that states none. */
    public static final QuotaTolerance NONE = new QuotaTolerance(8_000, 0, 0);
}
