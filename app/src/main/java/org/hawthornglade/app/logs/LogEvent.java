package org.hawthornglade.app.logs;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A line of an event log: key=value pairs, where values that contain spaces are in quotes. */
final class LogEvent {
    private static final Pattern PAIR = Pattern.compile("([A-Za-z_]+)=(\"[^\"]*\"|\\S*)");

    private final String line;
    private final Map<String, String> fields;

    private LogEvent(String line, Map<String, String> fields) {
        this.line = line;
        this.fields = fields;
    }

    /**
     * Parses a line; empty if it is not an event. Text before the first pair, such as the name of a node, is kept in
     * {@link #toString()}.
     */
    static Optional<LogEvent> parse(String line) {
        Map<String, String> fields = new LinkedHashMap<>();
        Matcher matcher = PAIR.matcher(line);
        while (matcher.find()) {
            String value = matcher.group(2);
            boolean quoted = value.length() >= 2 && value.startsWith("\"");
            fields.put(matcher.group(1), quoted ? value.substring(1, value.length() - 1) : value);
        }
        boolean isEvent =
                fields.containsKey("event") && fields.getOrDefault("at", "").matches("\\d+");
        return isEvent ? Optional.of(new LogEvent(line.trim(), fields)) : Optional.empty();
    }

    long atMs() {
        return Long.parseLong(fields.get("at"));
    }

    String get(String field) {
        return fields.getOrDefault(field, "");
    }

    /** Returns the value of a field as a number, or 0 if the field is absent or not a non-negative integer. */
    long number(String field) {
        String value = get(field);
        return value.matches("\\d+") ? Long.parseLong(value) : 0;
    }

    @Override
    public String toString() {
        return line;
    }
}
