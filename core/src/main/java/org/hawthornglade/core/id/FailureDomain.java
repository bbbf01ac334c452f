package org.hawthornglade.core.id;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * A part of a region that fails as one.
 *
 * @param value 1 to 128 characters out of letters, digits and {@code . _ - : /}
 */
public record FailureDomain(@JsonValue String value) implements Comparable<FailureDomain> {
    /** Checks the value. */
    @JsonCreator
    public FailureDomain {
        Ids.check("failure domain", value);
    }

    /**
     * Makes an id of its text.
     *
     * @throws IllegalArgumentException if the text is no failure domain
     */
    public static FailureDomain of(String value) {
        return new FailureDomain(value);
    }

    @Override
    public int compareTo(FailureDomain other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
