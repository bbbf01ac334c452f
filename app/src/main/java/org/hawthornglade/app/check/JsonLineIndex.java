package org.hawthornglade.app.check;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.util.HashMap;
import java.util.Map;

/** On which line of a JSON text each value stands. */
final class JsonLineIndex {
    private final Map<String, Integer> lines = new HashMap<>();

    private JsonLineIndex() {}

    /** Reads the whole text; throws if it is no JSON. */
    static JsonLineIndex of(JsonParser parser) throws IOException {
        JsonLineIndex found = new JsonLineIndex();
        for (JsonToken token = parser.nextToken(); token != null; token = parser.nextToken()) {
            if (token != JsonToken.END_OBJECT && token != JsonToken.END_ARRAY) {
                String pointer = parser.getParsingContext().pathAsPointer().toString();
                found.lines.putIfAbsent(pointer, parser.currentTokenLocation().getLineNr());
            }
        }
        return found;
    }

    /** Returns the line of a value or, if it is not there, of the nearest one around it. */
    int lineOf(String pointer) {
        String at = pointer;
        while (!at.isEmpty() && !lines.containsKey(at)) {
            at = at.substring(0, at.lastIndexOf('/'));
        }
        return lines.getOrDefault(at, 1);
    }
}
