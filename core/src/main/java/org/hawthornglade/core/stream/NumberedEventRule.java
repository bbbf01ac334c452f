package org.hawthornglade.core.stream;

import java.util.Optional;
import java.util.Set;

/**
 * The rule of streams whose events are numbered.
 *
 * <p>An event has one id, which is a number, and data. Beside them stand the fields of the format and, as first line,
 * those that the protocol adds. Only the time before a caller connects again may stand alone. Whatever readers of
 * the format could read in different ways is not a part of a stream.
 */
public final class NumberedEventRule implements EventRule {
    private static final String STATUS_LINE = "HTTP/";
    private static final Set<String> FORMAT_FIELDS =
            Set.of(StreamEvent.ID, StreamEvent.DATA, StreamEvent.TYPE, StreamEvent.RETRY);

    private final Set<String> leadingFields;

    /**
     * Creates a rule.
     *
     * @param leadingFields the names of the numeric fields that may be the first line of an event
     */
    public NumberedEventRule(Set<String> leadingFields) {
        this.leadingFields = Set.copyOf(leadingFields);
    }

    @Override
    public Optional<EventDefect> defect(StreamEvent event) {
        for (int i = 0; i < event.fields().size(); i++) {
            Optional<EventDefect> found = fieldDefect(event.fields().get(i), i == 0);
            if (found.isPresent()) {
                return found;
            }
        }
        if (event.hasLoneCr()) {
            return Optional.of(EventDefect.LONE_CR);
        }
        return event.hasContent() ? contentDefect(event) : Optional.empty();
    }

    private Optional<EventDefect> fieldDefect(EventField field, boolean first) {
        if (field.name().startsWith(STATUS_LINE)) {
            return Optional.of(EventDefect.STATUS_LINE);
        }
        if (!field.hasColon()) {
            return Optional.of(EventDefect.UNKNOWN_FIELD);
        }
        if (leadingFields.contains(field.name())) {
            return first && field.isNumber() ? Optional.empty() : Optional.of(EventDefect.INVALID_FIELD);
        }
        if (!FORMAT_FIELDS.contains(field.name())) {
            return Optional.of(EventDefect.UNKNOWN_FIELD);
        }
        if (field.name().equals(StreamEvent.RETRY) && !field.isNumber()) {
            return Optional.of(EventDefect.INVALID_FIELD);
        }
        return Optional.empty();
    }

    private static Optional<EventDefect> contentDefect(StreamEvent event) {
        Optional<String> id = event.id();
        if (id.isEmpty()) {
            return Optional.of(EventDefect.NO_ID);
        }
        if (event.count(StreamEvent.ID) > 1) {
            return Optional.of(EventDefect.SEVERAL_IDS);
        }
        if (id.get().isBlank()) {
            return Optional.of(EventDefect.EMPTY_ID);
        }
        if (!new EventField(StreamEvent.ID, id.get(), true).isNumber()) {
            return Optional.of(EventDefect.ID_NOT_A_NUMBER);
        }
        return event.count(StreamEvent.DATA) > 0 ? Optional.empty() : Optional.of(EventDefect.NO_DATA);
    }
}
