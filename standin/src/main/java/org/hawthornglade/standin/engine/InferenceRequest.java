package org.hawthornglade.standin.engine;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import io.vavr.control.Either;
import org.hawthornglade.core.id.ModelName;
import org.hawthornglade.core.result.Failure;
import org.hawthornglade.core.result.ResultCode;

/**
 * An inference request, as parsed from the caller's body.
 *
 * @param model the model or adapter
 * @param prompt the prompt, or the concatenated contents of all messages
 * @param maxTokens the maximum number of tokens of the answer; 0 if the request sets none
 * @param stream whether the answer is sent as server-sent events
 * @param chat whether it is a chat completion
 */
public record InferenceRequest(ModelName model, String prompt, int maxTokens, boolean stream, boolean chat) {
    private static final JsonMapper MAPPER = JsonMapper.builder().build();

    /**
     * Parses a request.
     *
     * @param json the body
     * @param chat whether it is a chat completion
     * @return left with BAD_JSON or BAD_REQUEST if the body is not a valid request
     */
    public static Either<Failure, InferenceRequest> parse(String json, boolean chat) {
        try {
            JsonNode body = MAPPER.readTree(json);
            if (!body.isObject()) {
                return Either.left(Failure.of(ResultCode.BAD_REQUEST, "the body is not a JSON object"));
            }
            return Either.right(new InferenceRequest(
                    ModelName.of(body.path("model").asText()),
                    chat ? contents(body.path("messages")) : text(body.path("prompt")),
                    Math.max(0, maxTokens(body)),
                    body.path("stream").asBoolean(false),
                    chat));
        } catch (JsonProcessingException e) {
            return Either.left(Failure.of(ResultCode.BAD_JSON, e.getOriginalMessage()));
        } catch (IllegalArgumentException e) {
            return Either.left(Failure.of(ResultCode.BAD_REQUEST, e.getMessage()));
        }
    }

    /** Returns the length of the prompt in tokens; each word counts as one token. */
    int promptTokens() {
        return prompt.isBlank() ? 0 : prompt.strip().split("\\s+").length;
    }

    private static int maxTokens(JsonNode body) {
        return body.has("max_completion_tokens")
                ? body.path("max_completion_tokens").asInt(0)
                : body.path("max_tokens").asInt(0);
    }

    private static String contents(JsonNode messages) {
        StringBuilder all = new StringBuilder();
        for (JsonNode message : messages) {
            all.append(text(message.path("content")));
        }
        return all.toString();
    }

    private static String text(JsonNode node) {
        return node.isTextual() ? node.asText() : node.toString();
    }
}
