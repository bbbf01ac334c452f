package org.hawthornglade.core.id;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * An operators' office.
 *
 * @param value 1 to 128 characters out of letters, digits and {@code . _ - : /}
 */
public record OfficeId(@JsonValue String value) implements Comparable<OfficeId> {
    /** Checks the value. */
    @JsonCreator
    public OfficeId {
        Ids.check("office id", value);
    }

    /**
     * Makes an id of its text.
     *
     * @throws IllegalArgumentException if the text is no office id
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
