package org.hawthornglade.core.caller;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * Chooses the connections to close whose callers do not read their responses, the one that is unread for longest first.
 *
 * @param maxBytes the limit for the unread bytes of all connections together
 * @param graceMs a caller that has read nothing for less than this is taken to be reading
 * @param timeoutMs a connection is closed after this time without a byte read, also below the limit
 */
public record UnreadResponses(long maxBytes, long graceMs, long timeoutMs) {
    /**
     * What one caller has not read.
     *
     * @param connection its connection
     * @param bytes the unread bytes
     * @param sinceMs since when it has read none of them
     * @param <C> the type of connections
     */
    public record Unread<C>(C connection, long bytes, long sinceMs) {}

    /**
     * A connection to close.
     *
     * @param connection the connection
     * @param totalBytes the unread bytes of all connections before it is closed
     * @param <C> the type of connections
     */
    public record Dropped<C>(C connection, long totalBytes) {}

    /**
     * Returns the connections to close, in this order.
     *
     * @param all what the callers have not read, also those that are reading
     */
    public <C> List<Dropped<C>> choose(List<Unread<C>> all, long nowMs) {
        long totalBytes = all.stream().mapToLong(Unread::bytes).sum();
        List<Unread<C>> oldestFirst = all.stream()
                .filter(unread -> unread.bytes() > 0 && nowMs - unread.sinceMs() >= graceMs)
                .sorted(Comparator.comparingLong(Unread::sinceMs))
                .toList();
        List<Dropped<C>> dropped = new ArrayList<>();
        for (Unread<C> unread : oldestFirst) {
            boolean overdue = nowMs - unread.sinceMs() >= timeoutMs;
            if (!overdue && totalBytes <= maxBytes) {
                return dropped;
            }
            dropped.add(new Dropped<>(unread.connection(), totalBytes));
            totalBytes -= unread.bytes();
        }
        return dropped;
    }
}
