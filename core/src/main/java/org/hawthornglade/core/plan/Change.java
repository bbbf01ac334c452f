package org.hawthornglade.core.plan;

import java.util.List;

/**
 * One difference between two configurations.
 *
 * @param kind what happens to the entry
 * @param section the part of the configuration, such as {@code models}
 * @param name the entry's name; empty for a section without names
 * @param fields the fields that differ; empty unless changed
 */
public record Change(Kind kind, String section, String name, List<FieldChange> fields) {
    /** What happens to an entry. */
    public enum Kind {
        ADD,
        CHANGE,
        REMOVE
    }

    /**
     * One field that differs.
     *
     * @param field its name
     * @param before its value before, as JSON
     * @param after its value after, as JSON
     */
    public record FieldChange(String field, String before, String after) {}

    /** Copies the list. */
    public Change {
        fields = fields == null ? List.of() : List.copyOf(fields);
    }

    /** Returns the entry's name with its section, which tells whether two changes touch the same thing. */
    public String subject() {
        return section + "/" + name;
    }
}
