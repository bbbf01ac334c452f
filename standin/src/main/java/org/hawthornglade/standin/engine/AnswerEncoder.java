package org.hawthornglade.standin.engine;

import com.fasterxml.jackson.core.io.JsonStringEncoder;
import java.nio.charset.StandardCharsets;

/** Encodes one answer in the OpenAI format, as server-sent events or as one JSON object. */
final class AnswerEncoder {
    private final String id;
    private final InferenceRequest request;
    private final long createdSeconds;
    private final StringBuilder completeText = new StringBuilder();
    private int tokens;

    AnswerEncoder(String id, InferenceRequest request, long createdSeconds) {
        this.id = id;
        this.request = request;
        this.createdSeconds = createdSeconds;
    }

    /** Returns the bytes that a token adds to the response; empty if the answer is sent as one object. */
    byte[] encodeToken(String text) {
        boolean first = tokens == 0;
        tokens++;
        if (!request.stream()) {
            completeText.append(text);
            return new byte[0];
        }
        String quoted = quote(text);
        return event(request.chat() ? delta(quoted, first) : "\"text\":" + quoted, "null");
    }

    private static String delta(String quoted, boolean first) {
        return first
                ? "\"delta\":{\"role\":\"assistant\",\"content\":" + quoted + "}"
                : "\"delta\":{\"content\":" + quoted + "}";
    }

    /** Returns the bytes that complete the response. */
    byte[] encodeEnd(String finishReason) {
        String finish = quote(finishReason);
        if (!request.stream()) {
            return object(finish).getBytes(StandardCharsets.UTF_8);
        }
        byte[] last = event(request.chat() ? "\"delta\":{}" : "\"text\":\"\"", finish);
        byte[] marker = "data: [DONE]\n\n".getBytes(StandardCharsets.UTF_8);
        byte[] both = new byte[last.length + marker.length];
        System.arraycopy(last, 0, both, 0, last.length);
        System.arraycopy(marker, 0, both, last.length, marker.length);
        return both;
    }

    private byte[] event(String payload, String finish) {
        String type = request.chat() ? "chat.completion.chunk" : "text_completion";
        String json = "data: {" + head(type) + ",\"choices\":[{\"index\":0," + payload + ",\"finish_reason\":" + finish
                + "}]}\n\n";
        return json.getBytes(StandardCharsets.UTF_8);
    }

    private String object(String finish) {
        String text = quote(completeText.toString());
        String payload =
                request.chat() ? "\"message\":{\"role\":\"assistant\",\"content\":" + text + "}" : "\"text\":" + text;
        String type = request.chat() ? "chat.completion" : "text_completion";
        return "{" + head(type) + ",\"choices\":[{\"index\":0," + payload + ",\"finish_reason\":" + finish
                + "}],\"usage\":" + usage() + "}";
    }

    private String usage() {
        int promptTokens = request.promptTokens();
        return "{\"prompt_tokens\":" + promptTokens + ",\"completion_tokens\":" + tokens + ",\"total_tokens\":"
                + (promptTokens + tokens) + "}";
    }

    private String head(String type) {
        return "\"id\":" + quote(id) + ",\"object\":\"" + type + "\",\"created\":" + createdSeconds + ",\"model\":"
                + quote(request.model().value());
    }

    private static String quote(String text) {
        return "\"" + new String(JsonStringEncoder.getInstance().quoteAsString(text)) + "\"";
    }
}
