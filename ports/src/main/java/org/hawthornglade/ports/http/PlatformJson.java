package org.hawthornglade.ports.http;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.type.TypeReference;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.json.JsonMapper;
import io.vavr.control.Either;
import java.io.UncheckedIOException;
import org.hawthornglade.core.result.Failure;
import org.hawthornglade.core.result.ResultCode;

/** The JSON form of what is sent to and read from the platform; unknown fields are passed over. */
public final class PlatformJson {
    private static final JsonMapper MAPPER = JsonMapper.builder()
            .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
            .build();

    private PlatformJson() {}

    /** Writes a value. */
    public static String write(Object value) {
        try {
            return MAPPER.writeValueAsString(value);
        } catch (JsonProcessingException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Reads a value; left with BAD_JSON if the text is none of that type. */
    public static <T> Either<Failure, T> read(String json, TypeReference<T> type) {
        return read(json, type, ResultCode.BAD_JSON);
    }

    /** Reads a value; left with the given code if the text is none of that type. */
    public static <T> Either<Failure, T> read(String json, TypeReference<T> type, ResultCode otherwise) {
        try {
            T value = MAPPER.readValue(json, type);
            return value == null ? Either.left(Failure.of(otherwise, "the JSON value is null")) : Either.right(value);
        } catch (JsonProcessingException e) {
            return Either.left(Failure.of(otherwise, e.getOriginalMessage()));
        }
    }
}
