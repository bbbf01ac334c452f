package org.hawthornglade.core.plan;

import java.util.List;

/**
 * One difference between two configurations.
 *
 * @param kind whether the entry is added, changed or removed
 * @param section the section of the configuration, such as {@code models}
 * @param name the name of the entry; empty for a section without names
 * @param fields the fields that differ; empty unless the entry is changed
 */
public record Change(Kind kind, String section, String name, List<FieldChange> fields) {
    /** The kinds of changes of an entry. */
    public enum Kind {
        ADD,
        CHANGE,
        REMOVE
    }

    /**
     * A field whose value differs.
     *
     * @param field the name of the field
     * @param before the value before the change, as JSON
     * @param after the value after the change, as JSON
     */
    public record FieldChange(String field, String before, String after) {}

    /** Copies the list. */
    public Change {
        fields = fields == null ? List.of() : List.copyOf(fields);
    }

    /** Returns section and name of the entry; changes with the same subject affect the same entry. */
    public String subject() {
        return section + "/" + name;
    }
}
