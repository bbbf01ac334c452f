package org.hawthornglade.core.stream;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * One event of a stream ({@code text/event-stream}).
 *
 * @param fields its lines in their order, without comments
 * @param hasLoneCr whether a line ends with CR without LF, which not all readers take for an end
 */
public record StreamEvent(List<EventField> fields, boolean hasLoneCr) {
    /** The name of the field that holds the id of an event. */
    public static final String ID = "id";
    /** The name of a field that holds a part of an event's content. */
    public static final String DATA = "data";
    /** The name of the field that holds the type of an event. */
    public static final String TYPE = "event";
    /** The name of the field that holds the time before a caller connects again, in milliseconds. */
    public static final String RETRY = "retry";

    private static final char COMMENT = ':';

    /** Copies the list. */
    public StreamEvent {
        fields = List.copyOf(fields);
    }

    /** Reads the text of one event and of the comments before it; the end of the last line may be missing. */
    public static StreamEvent read(String text) {
        List<EventField> fields = new ArrayList<>();
        boolean hasLoneCr = false;
        int lineStart = 0;
        for (int i = 0; i < text.length(); i++) {
            char c = text.charAt(i);
            if (c != '\n' && c != '\r') {
                continue;
            }
            addField(text, lineStart, i, fields);
            hasLoneCr |= c == '\r' && !text.startsWith("\n", i + 1);
            lineStart = i + 1;
        }
        addField(text, lineStart, text.length(), fields);
        return new StreamEvent(fields, hasLoneCr);
    }

    private static void addField(String text, int start, int end, List<EventField> fields) {
        if (start < end && text.charAt(start) != COMMENT) {
            fields.add(EventField.of(text.substring(start, end)));
        }
    }

    /** Returns whether there is anything that means something to the reader of the stream's content. */
    public boolean hasContent() {
        return fields.stream().anyMatch(field -> !field.name().equals(RETRY));
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
