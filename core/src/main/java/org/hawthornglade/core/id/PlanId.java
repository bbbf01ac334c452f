package org.hawthornglade.core.id;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * The id of a plan that an operator may confirm.
 *
 * @param value 1 to 128 characters: letters, digits and {@code . _ - : /}
 */
public record PlanId(@JsonValue String value) implements Comparable<PlanId> {
    /** Validates the value. */
    @JsonCreator
    public PlanId {
        Ids.check("plan id", value);
    }

    /**
     * Creates an id from its text.
     *
     * @throws IllegalArgumentException if the text is not a valid plan id
     */
    public static PlanId of(String value) {
        return new PlanId(value);
    }

    @Override
    public int compareTo(PlanId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
