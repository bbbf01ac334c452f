package org.hawthornglade.core.id;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * A plan that an operator may confirm.
 *
 * @param value 1 to 128 characters out of letters, digits and {@code . _ - : /}
 */
public record PlanId(@JsonValue String value) implements Comparable<PlanId> {
    /** Checks the value. */
    @JsonCreator
    public PlanId {
        Ids.check("plan id", value);
    }

    /**
     * Makes an id of its text.
     *
     * @throws IllegalArgumentException if the text is no plan id
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
