package org.hawthornglade.app.caller;

import static java.nio.charset.StandardCharsets.UTF_8;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.io.PrintStream;

/** Prints the text of a chat response, streamed or in one piece, as it arrives. */
final class ChatResponsePrinter {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final String DATA_PREFIX = "data: ";
    private static final String END_MARKER = "[DONE]";

    private final PrintStream out;
    private boolean complete;

    ChatResponsePrinter(PrintStream out) {
        this.out = out;
    }

    /** Prints the response and returns whether it was complete: a full message or a stream with its end marker. */
    boolean print(InputStream body) throws IOException {
        BufferedReader reader = new BufferedReader(new InputStreamReader(body, UTF_8));
        for (String line = reader.readLine(); line != null; line = reader.readLine()) {
            if (!line.isBlank()) {
                printLine(line);
            }
        }
        out.println();
        return complete;
    }

    private void printLine(String line) throws JsonProcessingException {
        String json = line.startsWith(DATA_PREFIX) ? line.substring(DATA_PREFIX.length()) : line;
        if (json.equals(END_MARKER)) {
            complete = true;
            return;
        }
        JsonNode tree = MAPPER.readTree(json);
        if (tree.has("error")) {
            out.print(tree.get("error"));
            return;
        }
        JsonNode choice = tree.path("choices").path(0);
        if (choice.has("message")) {
            complete = true;
            out.print(choice.path("message").path("content").asText());
            return;
        }
        out.print(choice.path("delta").path("content").asText());
        out.flush();
    }
}
