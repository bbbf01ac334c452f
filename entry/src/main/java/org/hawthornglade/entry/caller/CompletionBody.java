package org.hawthornglade.entry.caller;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.vavr.control.Either;
import java.io.IOException;
import java.util.List;
import java.util.Optional;
import org.hawthornglade.core.result.Failure;
import org.hawthornglade.core.result.ResultCode;

/**
 * The fields of a completion request's body that the entry uses.
 *
 * @param model the name of the model or adapter
 * @param stream whether the response is streamed as server-sent events
 */
record CompletionBody(String model, boolean stream) {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    /**
     * Parses a body; left with BAD_JSON or BAD_REQUEST.
     *
     * @param chat whether the body has messages instead of a prompt
     */
    static Either<Failure, CompletionBody> parse(byte[] body, boolean chat) {
        JsonNode tree;
        try {
            tree = MAPPER.readTree(body);
        } catch (JsonProcessingException e) {
            return Either.left(Failure.of(ResultCode.BAD_JSON, e.getOriginalMessage()));
        } catch (IOException e) {
            return Either.left(Failure.of(ResultCode.BAD_JSON, "the body cannot be read"));
        }
        if (tree == null || !tree.isObject()) {
            return Either.left(Failure.of(ResultCode.BAD_REQUEST, "the body is not a JSON object"));
        }
        return firstError(tree, chat)
                .<Either<Failure, CompletionBody>>map(Either::left)
                .orElseGet(() -> Either.right(new CompletionBody(
                        tree.get("model").asText(), tree.path("stream").asBoolean(false))));
    }

    private static Optional<Failure> firstError(JsonNode tree, boolean chat) {
        if (!tree.path("model").isTextual()) {
            return parameterError("model", "is missing or not a string");
        }
        if (tree.has("stream") && !tree.get("stream").isBoolean()) {
            return parameterError("stream", "is neither true nor false");
        }
        for (String limit : List.of("max_tokens", "max_completion_tokens")) {
            if (tree.hasNonNull(limit) && !isPositive(tree.get(limit))) {
                return parameterError(limit, "is not an integer of at least 1");
            }
        }
        return chat ? messagesError(tree.path("messages")) : promptError(tree.path("prompt"));
    }

    private static boolean isPositive(JsonNode number) {
        return number.isIntegralNumber() && number.canConvertToInt() && number.intValue() >= 1;
    }

    private static Optional<Failure> messagesError(JsonNode messages) {
        if (!messages.isArray() || messages.isEmpty()) {
            return parameterError("messages", "is missing or not an array of at least one message");
        }
        for (int i = 0; i < messages.size(); i++) {
            if (!messages.get(i).path("role").isTextual()) {
                return parameterError("messages[" + i + "].role", "is missing or not a string");
            }
        }
        return Optional.empty();
    }

    private static Optional<Failure> promptError(JsonNode prompt) {
        boolean valid = prompt.isTextual() || (prompt.isArray() && !prompt.isEmpty());
        return valid
                ? Optional.empty()
                : parameterError("prompt", "is missing or neither a string nor a non-empty array");
    }

    private static Optional<Failure> parameterError(String parameter, String problem) {
        return Optional.of(Failure.ofParameter(parameter, "the parameter " + parameter + " " + problem));
    }
}
