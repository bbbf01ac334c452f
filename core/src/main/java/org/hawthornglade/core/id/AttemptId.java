package org.hawthornglade.core.id;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * The id of one attempt of a request at one agent; ids are never reused.
 *
 * @param value 1 to 128 characters: letters, digits and {@code . _ - : /}
 */
public record AttemptId(@JsonValue String value) implements Comparable<AttemptId> {
    /** Validates the value. */
    @JsonCreator
    public AttemptId {
        Ids.check("attempt id", value);
    }

    /**
     * Creates an id from its text.
     *
     * @throws IllegalArgumentException if the text is not a valid attempt id
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
