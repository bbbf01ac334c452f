package org.hawthornglade.core.limit;

import java.util.List;

/**
 * What an entry tells the leader of endpoints with limits.
 *
 * @param sentAtMs when, on the entry's steady clock
 * @param seenSerial the last news of the leader that the entry has read; 0 if none
 * @param asks one for each endpoint
 */
public record EntryAsks(long sentAtMs, long seenSerial, List<PermitAsk> asks) {
    /** Says nothing. */
    public static final EntryAsks NONE = new EntryAsks(0, 0, List.of());

    /** Copies the list. */
    public EntryAsks {
        asks = List.copyOf(asks);
    }

    /** Returns whether a call wants a permit. */
    boolean wantsAny() {
        return asks.stream().anyMatch(ask -> ask.calls() + ask.briefCalls() > 0);
    }
}
