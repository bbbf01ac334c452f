package org.hawthornglade.core.id;

/**
 * A digest of what stays the same when a caller makes a request again under another id.
 *
 * @param value the digest in hexadecimal
 */
public record RequestDigest(String value) {
    /** Validates the value. */
    public RequestDigest {
        Ids.check("request digest", value);
    }

    @Override
    public String toString() {
        return value;
    }
}
