package org.hawthornglade.core.stream;

/**
 * One line of an event that is not a comment.
 *
 * @param name the part before the first colon; the whole line if it has none
 * @param value the part after the colon, without one leading space
 * @param hasColon whether the line has a colon
 */
public record EventField(String name, String value, boolean hasColon) {
    /** Reads a line, given without its end. */
    public static EventField of(String line) {
        int colon = line.indexOf(':');
        if (colon < 0) {
            return new EventField(line, "", false);
        }
        int valueStart = line.startsWith(" ", colon + 1) ? colon + 2 : colon + 1;
        return new EventField(line.substring(0, colon), line.substring(valueStart), true);
    }

    /** Returns whether the value consists of one or more digits. */
    public boolean isNumber() {
        return !value.isEmpty() && value.chars().allMatch(c -> c >= '0' && c <= '9');
    }
}
