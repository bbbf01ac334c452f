package org.hawthornglade.core.id;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * A caller's request, unique over all entries.
 *
 * @param value 1 to 128 characters out of letters, digits and {@code . _ - : /}
 */
public record RequestId(@JsonValue String value) implements Comparable<RequestId> {
    /** Checks the value. */
    @JsonCreator
    public RequestId {
        Ids.check("request id", value);
    }

    /**
     * Makes an id of its text.
     *
     * @throws IllegalArgumentException if the text is no request id
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
