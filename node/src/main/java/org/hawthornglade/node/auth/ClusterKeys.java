package org.hawthornglade.node.auth;

import static java.nio.charset.StandardCharsets.UTF_8;

import com.google.common.hash.Hashing;
import java.security.MessageDigest;
import java.util.ArrayList;
import java.util.List;

/**
 * Makes and verifies proofs with the keys that entries and agents share.
 *
 * <p>To rotate keys, add the new one as second on every node, then make it the first, then remove the old one.
 */
public final class ClusterKeys {
    private static final int MIN_KEY_CHARS = 16;

    private final List<byte[]> keys = new ArrayList<>();

    /**
     * Creates the set of keys.
     *
     * @param secrets the keys; proofs are made with the first and accepted with any
     * @throws IllegalArgumentException if there is no key or one is shorter than 16 characters
     */
    public ClusterKeys(List<String> secrets) {
        if (secrets.isEmpty()) {
            throw new IllegalArgumentException("no cluster key is configured");
        }
        for (String secret : secrets) {
            if (secret.length() < MIN_KEY_CHARS) {
                throw new IllegalArgumentException("a cluster key is shorter than " + MIN_KEY_CHARS + " characters");
            }
            keys.add(secret.getBytes(UTF_8));
        }
    }

    /** Returns the proof, an HMAC-SHA256, over a message for a purpose. */
    public byte[] prove(String purpose, byte[] message) {
        return mac(keys.get(0), purpose, message);
    }

    /** Returns whether a proof of a message for a purpose was made with any of the keys. */
    public boolean verify(String purpose, byte[] message, byte[] proof) {
        boolean valid = false;
        for (byte[] key : keys) {
            valid |= MessageDigest.isEqual(mac(key, purpose, message), proof);
        }
        return valid;
    }

    private static byte[] mac(byte[] key, String purpose, byte[] message) {
        return Hashing.hmacSha256(key)
                .newHasher()
                .putInt(purpose.length())
                .putString(purpose, UTF_8)
                .putBytes(message)
                .hash()
                .asBytes();
    }
}
