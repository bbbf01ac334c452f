package org.hawthornglade.core.team;

import java.util.Optional;

/**
 * The credential that a caller sent with a request.
 *
 * @param sent whether the caller sent any
 * @param key the key in it; empty if none was sent, or if it cannot be read
 */
public record Credential(boolean sent, Optional<ApiKey> key) {
    /** The caller sent no credential. */
    public static final Credential NONE = new Credential(false, Optional.empty());
    /** The caller sent a credential that cannot be read, or several. */
    public static final Credential UNREADABLE = new Credential(true, Optional.empty());

    /** Returns a credential with a key. */
    public static Credential of(ApiKey key) {
        return new Credential(true, Optional.of(key));
    }
}
