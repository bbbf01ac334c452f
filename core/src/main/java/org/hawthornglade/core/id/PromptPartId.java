package org.hawthornglade.core.id;

/**
 * The id of a part of a prompt, unique for its text.
 *
 * @param value 1 to 128 characters: letters, digits and {@code . _ - : /}
 */
public record PromptPartId(String value) implements Comparable<PromptPartId> {
    /** Validates the value. */
    public PromptPartId {
        Ids.check("prompt part id", value);
    }

    /**
     * Creates an id from its text.
     *
     * @throws IllegalArgumentException if the text is not a valid id
     */
    public static PromptPartId of(String value) {
        return new PromptPartId(value);
    }

    @Override
    public int compareTo(PromptPartId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
