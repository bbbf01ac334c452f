package org.hawthornglade.core.id;

/**
 * An adapter of a model; unique within its model only.
 *
 * @param value 1 to 128 characters out of letters, digits and {@code . _ - : /}
 */
public record AdapterName(String value) implements Comparable<AdapterName> {
    /** Checks the value. */
    public AdapterName {
        Ids.check("adapter name", value);
    }

    /**
     * Makes an id of its text.
     *
     * @throws IllegalArgumentException if the text is no adapter name
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
