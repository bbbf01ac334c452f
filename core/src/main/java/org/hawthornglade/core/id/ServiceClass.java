package org.hawthornglade.core.id;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * The name of a class of service, such as interactive or batch.
 *
 * @param value 1 to 128 characters: letters, digits and {@code . _ - : /}
 */
public record ServiceClass(@JsonValue String value) implements Comparable<ServiceClass> {
    /** Validates the value. */
    @JsonCreator
    public ServiceClass {
        Ids.check("service class", value);
    }

    /**
     * Creates a name from its text.
     *
     * @throws IllegalArgumentException if the text is not a valid service class
     */
    public static ServiceClass of(String value) {
        return new ServiceClass(value);
    }

    @Override
    public int compareTo(ServiceClass other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
