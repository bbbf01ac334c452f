package org.hawthornglade.core.config;

/**
 * One fault of a document.
 *
 * @param path where, as a JSON pointer such as {@code /models/3/memoryMb}
 * @param message what is wrong and what would be right
 * @param kind what sort of fault it is
 */
public record Fault(String path, String message, Kind kind) {
    /** Sorts of faults. */
    public enum Kind {
        /** A value is missing, malformed, out of range or refers to nothing. */
        INVALID,
        /** The values are sound but exceed a budget. */
        OVER_BUDGET
    }

    @Override
    public String toString() {
        return path + ": " + message;
    }
}
