package org.hawthornglade.core.id;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * The id of a failure domain, a part of a region that fails as a unit.
 *
 * @param value 1 to 128 characters: letters, digits and {@code . _ - : /}
 */
public record FailureDomain(@JsonValue String value) implements Comparable<FailureDomain> {
    /** Validates the value. */
    @JsonCreator
    public FailureDomain {
        Ids.check("failure domain", value);
    }

    /**
     * Creates an id from its text.
     *
     * @throws IllegalArgumentException if the text is not a valid failure domain
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
