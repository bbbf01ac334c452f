package org.hawthornglade.core.id;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * The name of a service.
 *
 * @param value 1 to 128 characters: letters, digits and {@code . _ - : /}
 */
public record ServiceName(@JsonValue String value) implements Comparable<ServiceName> {
    /** Validates the value. */
    @JsonCreator
    public ServiceName {
        Ids.check("service name", value);
    }

    /**
     * Creates a name from its text.
     *
     * @throws IllegalArgumentException if the text is not a valid service name
     */
    public static ServiceName of(String value) {
        return new ServiceName(value);
    }

    @Override
    public int compareTo(ServiceName other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
