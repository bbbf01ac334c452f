package org.hawthornglade.entry.claim;

import static java.nio.charset.StandardCharsets.UTF_8;

import com.google.common.hash.Hashing;
import org.hawthornglade.core.id.OrganisationId;

/**
 * Identifies a claimed call by the idempotency key of its caller.
 *
 * @param organisation the organisation of the caller
 * @param idempotencyKey the key as the caller sent it
 * @param fingerprint a hash over method, path and body, which detects that a key is reused for another call
 */
public record ClaimKey(OrganisationId organisation, String idempotencyKey, String fingerprint) {
    /** Returns the key of the claim's row; the idempotency key is hashed because it may contain any characters. */
    public String rowKey() {
        return organisation.value() + "/" + Hashing.sha256().hashString(idempotencyKey, UTF_8);
    }

    /** Returns the fingerprint of a call. */
    public static String fingerprint(String method, String path, byte[] body) {
        return Hashing.sha256()
                .newHasher()
                .putString(method, UTF_8)
                .putByte((byte) 0)
                .putString(path, UTF_8)
                .putByte((byte) 0)
                .putBytes(body)
                .hash()
                .toString();
    }
}
