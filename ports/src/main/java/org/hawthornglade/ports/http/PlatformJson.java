package org.hawthornglade.ports.http;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.type.TypeReference;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.json.JsonMapper;
import io.vavr.control.Either;
import java.io.UncheckedIOException;
import org.hawthornglade.core.result.Failure;
import org.hawthornglade.core.result.ResultCode;

/** Serialises and parses the JSON that is exchanged with the platform; unknown fields are ignored. */
public final class PlatformJson {
    private static final JsonMapper MAPPER = JsonMapper.builder()
            .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
            .build();

    private PlatformJson() {}

    /** Serialises a value. */
    public static String write(Object value) {
        try {
            return MAPPER.writeValueAsString(value);
        } catch (JsonProcessingException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Parses a value; left with BAD_JSON if the text is not JSON of that type. */
    public static <T> Either<Failure, T> read(String json, TypeReference<T> type) {
        return read(json, type, ResultCode.BAD_JSON);
    }

    /** Parses a value; left with the given code if the text is not JSON of that type. */
    public static <T> Either<Failure, T> read(String json, TypeReference<T> type, ResultCode failureCode) {
        try {
            T value = MAPPER.readValue(json, type);
            return value == null ? Either.left(Failure.of(failureCode, "the JSON value is null")) : Either.right(value);
        } catch (JsonProcessingException e) {
            return Either.left(Failure.of(failureCode, e.getOriginalMessage()));
        }
    }
}
