package org.hawthornglade.core.plan;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.core.exc.StreamReadException;
import com.fasterxml.jackson.core.json.JsonReadFeature;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonMappingException;
import com.fasterxml.jackson.databind.json.JsonMapper;
import io.vavr.control.Either;
import java.util.stream.Collectors;
import org.hawthornglade.core.result.Failure;
import org.hawthornglade.core.result.ResultCode;

/** Reads an intent from JSON with comments; unknown and duplicate fields are rejected. */
public final class IntentJson {
    private static final JsonMapper MAPPER = JsonMapper.builder()
            .enable(JsonReadFeature.ALLOW_JAVA_COMMENTS)
            .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
            .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
            .enable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES)
            .disable(DeserializationFeature.ACCEPT_FLOAT_AS_INT)
            .build();

    private IntentJson() {}

    /**
     * Reads an intent.
     *
     * @return the intent, or left with BAD_JSON if the text is not valid JSON, or INTENT_INVALID with the path of a
     *     field that is unknown or has the wrong type
     */
    public static Either<Failure, Intent> read(String json) {
        try {
            Intent intent = MAPPER.readValue(json, Intent.class);
            return intent == null ? empty() : Either.right(intent);
        } catch (JsonMappingException e) {
            if (e.getCause() instanceof StreamReadException malformed) {
                return Either.left(Failure.of(ResultCode.BAD_JSON, messageWithLine(malformed)));
            }
            return Either.left(Failure.of(ResultCode.INTENT_INVALID, pathOf(e) + ": " + e.getOriginalMessage()));
        } catch (JsonProcessingException e) {
            return Either.left(Failure.of(ResultCode.BAD_JSON, messageWithLine(e)));
        }
    }

    private static Either<Failure, Intent> empty() {
        return Either.left(Failure.of(ResultCode.INTENT_INVALID, "/: the intent is null"));
    }

    private static String pathOf(JsonMappingException e) {
        return e.getPath().stream()
                .map(step -> step.getFieldName() == null ? "" + step.getIndex() : step.getFieldName())
                .collect(Collectors.joining("/", "/", ""));
    }

    private static String messageWithLine(JsonProcessingException e) {
        return e.getLocation() == null
                ? e.getOriginalMessage()
                : "line " + e.getLocation().getLineNr() + ": " + e.getOriginalMessage();
    }
}
