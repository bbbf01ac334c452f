package org.hawthornglade.core.config;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.json.JsonMapper;
import io.vavr.control.Either;
import java.io.UncheckedIOException;
import org.hawthornglade.core.result.Failure;
import org.hawthornglade.core.result.ResultCode;

/** Converts configurations to and from JSON, as stored in the table service and sent between processes. */
public final class ConfigurationJson {
    private static final JsonMapper MAPPER = JsonMapper.builder()
            .enable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES)
            // During an upgrade, nodes of two releases run side by side; the older one ignores unknown fields.
            .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
            .build();

    private ConfigurationJson() {}

    /** Writes a configuration as JSON. */
    public static String write(Configuration configuration) {
        try {
            return MAPPER.writeValueAsString(configuration);
        } catch (JsonProcessingException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Reads a configuration; returns left with {@link ResultCode#BAD_JSON} if the text is not one. */
    public static Either<Failure, Configuration> read(String json) {
        try {
            return Either.right(MAPPER.readValue(json, Configuration.class));
        } catch (JsonProcessingException e) {
            return Either.left(Failure.of(ResultCode.BAD_JSON, e.getOriginalMessage()));
        }
    }
}
