package org.hawthornglade.core.id;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * An organisation that calls or pays.
 *
 * @param value 1 to 128 characters out of letters, digits and {@code . _ - : /}
 */
public record OrganisationId(@JsonValue String value) implements Comparable<OrganisationId> {
    /** Checks the value. */
    @JsonCreator
    public OrganisationId {
        Ids.check("organisation id", value);
    }

    /**
     * Makes an id of its text.
     *
     * @throws IllegalArgumentException if the text is no organisation id
     */
    public static OrganisationId of(String value) {
        return new OrganisationId(value);
    }

    @Override
    public int compareTo(OrganisationId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
