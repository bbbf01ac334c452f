package org.hawthornglade.entry.caller;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.vavr.control.Either;
import java.io.IOException;
import org.hawthornglade.core.result.Failure;
import org.hawthornglade.core.result.ResultCode;

/**
 * What the entry needs to know of a completion's body.
 *
 * @param model the model or adapter
 * @param stream whether the answer is to come as server-sent events
 */
record CompletionBody(String model, boolean stream) {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    /** Reads a body; left with BAD_JSON or BAD_REQUEST. */
    static Either<Failure, CompletionBody> parse(byte[] body) {
        JsonNode tree;
        try {
            tree = MAPPER.readTree(body);
        } catch (JsonProcessingException e) {
            return Either.left(Failure.of(ResultCode.BAD_JSON, e.getOriginalMessage()));
        } catch (IOException e) {
            return Either.left(Failure.of(ResultCode.BAD_JSON, "the body cannot be read"));
        }
        if (tree == null || !tree.path("model").isTextual()) {
            return Either.left(Failure.of(ResultCode.BAD_REQUEST, "the field model is missing"));
        }
        return Either.right(new CompletionBody(
                tree.get("model").asText(), tree.path("stream").asBoolean(false)));
    }
}
