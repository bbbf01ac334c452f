package org.hawthornglade.app.logs;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** One line of a log: key=value pairs, with values that hold blanks in quotes. */
final class LogEvent {
    private static final Pattern PAIR = Pattern.compile("([A-Za-z_]+)=(\"[^\"]*\"|\\S*)");

    private final String line;
    private final Map<String, String> fields;

    private LogEvent(String line, Map<String, String> fields) {
        this.line = line;
        this.fields = fields;
    }

    /** Reads a line; empty if it is no event. Text before the first pair, such as a node's name, is kept. */
    static Optional<LogEvent> parse(String line) {
        Map<String, String> fields = new LinkedHashMap<>();
        Matcher matcher = PAIR.matcher(line);
        while (matcher.find()) {
            String value = matcher.group(2);
            boolean quoted = value.length() >= 2 && value.startsWith("\"");
            fields.put(matcher.group(1), quoted ? value.substring(1, value.length() - 1) : value);
        }
        boolean event =
                fields.containsKey("event") && fields.getOrDefault("at", "").matches("\\d+");
        return event ? Optional.of(new LogEvent(line.trim(), fields)) : Optional.empty();
    }

    long atMs() {
        return Long.parseLong(fields.get("at"));
    }

    String get(String field) {
        return fields.getOrDefault(field, "");
    }

    long number(String field) {
        String value = get(field);
        return value.matches("\\d+") ? Long.parseLong(value) : 0;
    }

    @Override
    public String toString() {
        return line;
    }
}
