package org.hawthornglade.core.id;

/**
 * The name of an adapter, which is unique only within its model.
 *
 * @param value 1 to 128 characters: letters, digits and {@code . _ - : /}
 */
public record AdapterName(String value) implements Comparable<AdapterName> {
    /** Validates the value. */
    public AdapterName {
        Ids.check("adapter name", value);
    }

    /**
     * Creates a name from its text.
     *
     * @throws IllegalArgumentException if the text is not a valid adapter name
     */
    public static AdapterName of(String value) {
        return new AdapterName(value);
    }

    @Override
    public int compareTo(AdapterName other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
