package org.hawthornglade.gateway.memory;

import org.hawthornglade.gateway.log.EventLog;

/**
 * The limits for the responses to one kind of the entry's own calls.
 *
 * @param maxBytes the size of one response
 * @param share the memory for all of them together
 */
public record ResponseLimit(int maxBytes, MemoryShare share) {
    /** A page has at most 1 MB of values, a third more as base64, beside its keys. */
    private static final int MAX_STORE_RESPONSE_BYTES = 2_097_152;

    private static final long MAX_STORE_BYTES = 8_388_608;
    /** A server reports some kilobytes. */
    private static final int MAX_SERVER_RESPONSE_BYTES = 262_144;

    private static final long MAX_SERVER_BYTES = 4_194_304;

    /** Creates the limit for the responses of the store. */
    public static ResponseLimit ofStore(EventLog log) {
        return new ResponseLimit(MAX_STORE_RESPONSE_BYTES, new MemoryShare("store-responses", MAX_STORE_BYTES, log));
    }

    /** Creates the limit for the responses of servers to the entry's own calls. */
    public static ResponseLimit ofServers(EventLog log) {
        return new ResponseLimit(MAX_SERVER_RESPONSE_BYTES, new MemoryShare("server-responses", MAX_SERVER_BYTES, log));
    }
}
