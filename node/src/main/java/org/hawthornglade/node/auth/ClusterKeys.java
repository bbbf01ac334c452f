package org.hawthornglade.node.auth;

import static java.nio.charset.StandardCharsets.UTF_8;

import com.google.common.hash.Hashing;
import java.security.MessageDigest;
import java.util.ArrayList;
import java.util.List;

/**
 * The keys that entries and agents share, and proofs of holding one.
 *
 * <p>To rotate: add the new key as second on every node, then make it first, then drop the old one.
 */
public final class ClusterKeys {
    private static final int MIN_KEY_CHARS = 16;

    private final List<byte[]> keys = new ArrayList<>();

    /**
     * Takes the keys.
     *
     * @param secrets the keys; the first makes proofs, all are accepted
     * @throws IllegalArgumentException if there is none or one is shorter than 16 characters
     */
    public ClusterKeys(List<String> secrets) {
        if (secrets.isEmpty()) {
            throw new IllegalArgumentException("there is no cluster key");
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

    /** Returns whether a proof was made with any of the keys. */
    public boolean verify(String purpose, byte[] message, byte[] proof) {
        boolean found = false;
        for (byte[] key : keys) {
            found |= MessageDigest.isEqual(mac(key, purpose, message), proof);
        }
        return found;
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
