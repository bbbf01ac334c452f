package org.hawthornglade.core.stream;

import java.util.List;
import java.util.Optional;
import java.util.regex.Pattern;

/**
 * One event of a stream ({@code text/event-stream}).
 *
 * @param fields its lines in their order, without comments
 */
public record StreamEvent(List<EventField> fields) {
    /** The name of the field that holds the id of an event. */
    public static final String ID = "id";
    /** The name of a field that holds a part of an event's content. */
    public static final String DATA = "data";
    /** The name of the field that holds the type of an event. */
    public static final String TYPE = "event";
    /** The name of the field that holds the time before a caller connects again, in milliseconds. */
    public static final String RETRY = "retry";

    private static final String COMMENT = ":";
    private static final Pattern LINE_ENDS = Pattern.compile("[\r\n]+");

    /** Copies the list. */
    public StreamEvent {
        fields = List.copyOf(fields);
    }

    /** Reads the text of one event, of comments or of empty lines; the end of the last line may be missing. */
    public static StreamEvent read(String text) {
        return new StreamEvent(LINE_ENDS
                .splitAsStream(text)
                .filter(line -> !line.isEmpty() && !line.startsWith(COMMENT))
                .map(EventField::of)
                .toList());
    }

    /** Returns whether there is no field: such an event means nothing to its reader. */
    public boolean isEmpty() {
        return fields.isEmpty();
    }

    /** Returns the value of the last id field. */
    public Optional<String> id() {
        return fields.stream()
                .filter(field -> field.name().equals(ID))
                .map(EventField::value)
                .reduce((first, second) -> second);
    }

    /** Returns the number of fields with the given name. */
    public long count(String name) {
        return fields.stream().filter(field -> field.name().equals(name)).count();
    }
}
