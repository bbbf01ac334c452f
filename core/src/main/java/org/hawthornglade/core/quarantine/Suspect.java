package org.hawthornglade.core.quarantine;

import org.hawthornglade.core.id.PromptPartId;
import org.hawthornglade.core.id.RequestDigest;

/**
 * What may cause the crash of an instance: a part of a prompt, or a whole request that comes again.
 *
 * @param value the id of the part, or the digest of the request after a prefix
 */
public record Suspect(String value) {
    private static final String REQUEST_PREFIX = "request:";
    private static final String PART_PREFIX = "part:";

    /** Returns the suspect for a part of a prompt. */
    public static Suspect of(PromptPartId part) {
        boolean prefixed =
                part.value().startsWith(REQUEST_PREFIX) || part.value().startsWith(PART_PREFIX);
        return new Suspect(prefixed ? PART_PREFIX + part.value() : part.value());
    }

    /** Returns the suspect for a request. */
    public static Suspect of(RequestDigest request) {
        return new Suspect(REQUEST_PREFIX + request.value());
    }

    /** Returns whether this is a whole request. */
    public boolean isRequest() {
        return value.startsWith(REQUEST_PREFIX);
    }

    @Override
    public String toString() {
        return value;
    }
}
