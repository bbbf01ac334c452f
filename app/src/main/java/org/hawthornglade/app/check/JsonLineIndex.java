package org.hawthornglade.app.check;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.util.HashMap;
import java.util.Map;

/** Maps the JSON pointer of each value of a text to its line number. */
final class JsonLineIndex {
    private final Map<String, Integer> lines = new HashMap<>();

    private JsonLineIndex() {}

    /** Reads the text to its end; throws an exception if it is not valid JSON. */
    static JsonLineIndex of(JsonParser parser) throws IOException {
        JsonLineIndex index = new JsonLineIndex();
        for (JsonToken token = parser.nextToken(); token != null; token = parser.nextToken()) {
            if (token != JsonToken.END_OBJECT && token != JsonToken.END_ARRAY) {
                String pointer = parser.getParsingContext().pathAsPointer().toString();
                index.lines.putIfAbsent(pointer, parser.currentTokenLocation().getLineNr());
            }
        }
        return index;
    }

    /** Returns the line of a value or, if it does not exist, of the innermost existing value that would contain it. */
    int lineOf(String pointer) {
        String ancestor = pointer;
        while (!ancestor.isEmpty() && !lines.containsKey(ancestor)) {
            ancestor = ancestor.substring(0, ancestor.lastIndexOf('/'));
        }
        return lines.getOrDefault(ancestor, 1);
    }
}
