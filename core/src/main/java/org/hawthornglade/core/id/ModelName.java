package org.hawthornglade.core.id;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * The name by which callers request a model or adapter.
 *
 * @param value 1 to 128 characters: letters, digits and {@code . _ - : /}
 */
public record ModelName(@JsonValue String value) implements Comparable<ModelName> {
    /** Validates the value. */
    @JsonCreator
    public ModelName {
        Ids.check("model name", value);
    }

    /**
     * Creates a name from its text.
     *
     * @throws IllegalArgumentException if the text is not a valid model name
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
