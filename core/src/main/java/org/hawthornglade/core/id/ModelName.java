package org.hawthornglade.core.id;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * A model or adapter as callers name it.
 *
 * @param value 1 to 128 characters out of letters, digits and {@code . _ - : /}
 */
public record ModelName(@JsonValue String value) implements Comparable<ModelName> {
    /** Checks the value. */
    @JsonCreator
    public ModelName {
        Ids.check("model name", value);
    }

    /**
     * Makes an id of its text.
     *
     * @throws IllegalArgumentException if the text is no model name
     */
    public static ModelName of(String value) {
        return new ModelName(value);
    }

    @Override
    public int compareTo(ModelName other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
