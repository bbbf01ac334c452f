package org.hawthornglade.gateway.http;

/** Why a request is refused before its body was read. */
public enum UnreadBody {
    /** The bodies of other requests take the memory. */
    NO_MEMORY,
    /** The entry stops, and refuses what is not complete. */
    STOPPING
}
