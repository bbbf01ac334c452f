package org.hawthornglade.core.config;

/**
 * One fault in a document.
 *
 * @param path the location as a JSON pointer, such as {@code /models/3/memoryMb}
 * @param message what is wrong and what is valid
 * @param kind the kind of fault
 */
public record Fault(String path, String message, Kind kind) {
    /** The kinds of faults. */
    public enum Kind {
        /** A value is missing, malformed, out of range or an unresolved reference. */
        INVALID,
        /** The values are valid but exceed a budget. */
        OVER_BUDGET
    }

    @Override
    public String toString() {
        return path + ": " + message;
    }
}
