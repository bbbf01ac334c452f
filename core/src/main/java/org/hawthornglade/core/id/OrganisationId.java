package org.hawthornglade.core.id;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * The id of an organisation that sends calls or pays for them.
 *
 * @param value 1 to 128 characters: letters, digits and {@code . _ - : /}
 */
public record OrganisationId(@JsonValue String value) implements Comparable<OrganisationId> {
    /** Validates the value. */
    @JsonCreator
    public OrganisationId {
        Ids.check("organisation id", value);
    }

    /**
     * Creates an id from its text.
     *
     * @throws IllegalArgumentException if the text is not a valid organisation id
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
