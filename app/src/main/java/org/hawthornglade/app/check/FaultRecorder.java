package org.hawthornglade.app.check;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.databind.DeserializationContext;
import com.fasterxml.jackson.databind.JavaType;
import com.fasterxml.jackson.databind.JsonDeserializer;
import com.fasterxml.jackson.databind.deser.DeserializationProblemHandler;
import com.google.common.base.Defaults;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/** Records the faults that Jackson finds while it parses a file, and lets parsing continue. */
final class FaultRecorder extends DeserializationProblemHandler {
    private final JsonLineIndex lineIndex;
    private final List<SettingsFault> faults = new ArrayList<>();

    FaultRecorder(JsonLineIndex lineIndex) {
        this.lineIndex = lineIndex;
    }

    List<SettingsFault> faults() {
        return faults;
    }

    @Override
    public boolean handleUnknownProperty(
            DeserializationContext context,
            JsonParser parser,
            JsonDeserializer<?> deserializer,
            Object bean,
            String name)
            throws IOException {
        add(parser, "is not a known field");
        parser.skipChildren();
        return true;
    }

    @Override
    public Object handleWeirdStringValue(DeserializationContext context, Class<?> type, String value, String message) {
        add(context.getParser(), "'" + value + "' is not valid: " + message);
        return Defaults.defaultValue(type);
    }

    @Override
    public Object handleWeirdNumberValue(DeserializationContext context, Class<?> type, Number value, String message) {
        add(context.getParser(), value + " is not valid: " + message);
        return Defaults.defaultValue(type);
    }

    @Override
    public Object handleUnexpectedToken(
            DeserializationContext context, JavaType type, JsonToken token, JsonParser parser, String message)
            throws IOException {
        add(parser, "must be " + describe(type) + ", not " + describe(token));
        parser.skipChildren();
        return Defaults.defaultValue(type.getRawClass());
    }

    @Override
    public Object handleInstantiationProblem(
            DeserializationContext context, Class<?> type, Object argument, Throwable cause) {
        add(context.getParser(), cause.getMessage());
        return null;
    }

    private void add(JsonParser parser, String message) {
        String pointer = parser.getParsingContext().pathAsPointer().toString();
        faults.add(new SettingsFault(lineIndex.lineOf(pointer), pointer, message));
    }

    private static String describe(JavaType type) {
        if (type.isCollectionLikeType()) {
            return "a list";
        }
        return "of type " + type.getRawClass().getSimpleName();
    }

    private static String describe(JsonToken token) {
        return token.name().toLowerCase(java.util.Locale.ROOT).replace('_', ' ');
    }
}
