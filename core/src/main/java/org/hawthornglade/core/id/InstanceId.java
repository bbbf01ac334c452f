package org.hawthornglade.core.id;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * The id of an instance on the platform's list.
 *
 * @param value 1 to 128 characters: letters, digits and {@code . _ - : /}
 */
public record InstanceId(@JsonValue String value) implements Comparable<InstanceId> {
    /** Validates the value. */
    @JsonCreator
    public InstanceId {
        Ids.check("instance id", value);
    }

    /**
     * Creates an id from its text.
     *
     * @throws IllegalArgumentException if the text is not a valid instance id
     */
    public static InstanceId of(String value) {
        return new InstanceId(value);
    }

    @Override
    public int compareTo(InstanceId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
