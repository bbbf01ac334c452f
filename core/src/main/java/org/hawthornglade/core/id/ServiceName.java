package org.hawthornglade.core.id;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * A plain service beside the model engines.
 *
 * @param value 1 to 128 characters out of letters, digits and {@code . _ - : /}
 */
public record ServiceName(@JsonValue String value) implements Comparable<ServiceName> {
    /** Checks the value. */
    @JsonCreator
    public ServiceName {
        Ids.check("service name", value);
    }

    /**
     * Makes an id of its text.
     *
     * @throws IllegalArgumentException if the text is no service name
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
