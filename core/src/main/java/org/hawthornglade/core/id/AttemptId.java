package org.hawthornglade.core.id;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * One try of a request at one agent; never used again.
 *
 * @param value 1 to 128 characters out of letters, digits and {@code . _ - : /}
 */
public record AttemptId(@JsonValue String value) implements Comparable<AttemptId> {
    /** Checks the value. */
    @JsonCreator
    public AttemptId {
        Ids.check("attempt id", value);
    }

    /**
     * Makes an id of its text.
     *
     * @throws IllegalArgumentException if the text is no attempt id
     */
    public static AttemptId of(String value) {
        return new AttemptId(value);
    }

    @Override
    public int compareTo(AttemptId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
