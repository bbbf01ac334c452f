package org.hawthornglade.core.id;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * The id of a caller's request, unique across all entries.
 *
 * @param value 1 to 128 characters: letters, digits and {@code . _ - : /}
 */
public record RequestId(@JsonValue String value) implements Comparable<RequestId> {
    /** Validates the value. */
    @JsonCreator
    public RequestId {
        Ids.check("request id", value);
    }

    /**
     * Creates an id from its text.
     *
     * @throws IllegalArgumentException if the text is not a valid request id
     */
    public static RequestId of(String value) {
        return new RequestId(value);
    }

    @Override
    public int compareTo(RequestId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
