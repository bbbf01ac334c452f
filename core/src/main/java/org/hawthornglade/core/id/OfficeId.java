package org.hawthornglade.core.id;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * The id of an office of operators.
 *
 * @param value 1 to 128 characters: letters, digits and {@code . _ - : /}
 */
public record OfficeId(@JsonValue String value) implements Comparable<OfficeId> {
    /** Validates the value. */
    @JsonCreator
    public OfficeId {
        Ids.check("office id", value);
    }

    /**
     * Creates an id from its text.
     *
     * @throws IllegalArgumentException if the text is not a valid office id
     */
    public static OfficeId of(String value) {
        return new OfficeId(value);
    }

    @Override
    public int compareTo(OfficeId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
