package org.hawthornglade.core.plan;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.json.JsonMapper;
import io.vavr.control.Either;
import java.io.UncheckedIOException;
import org.hawthornglade.core.result.Failure;
import org.hawthornglade.core.result.ResultCode;

/** Converts plans to and from JSON, as stored in the table service and returned to programs. */
public final class PlanJson {
    private static final JsonMapper MAPPER = JsonMapper.builder()
            .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
            .build();

    private PlanJson() {}

    /** Writes a plan as JSON. */
    public static String write(Plan plan) {
        try {
            return MAPPER.writeValueAsString(plan);
        } catch (JsonProcessingException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Reads a plan; returns left with {@link ResultCode#BAD_JSON} if the text is not the JSON of a plan. */
    public static Either<Failure, Plan> read(String json) {
        try {
            return Either.right(MAPPER.readValue(json, Plan.class));
        } catch (JsonProcessingException e) {
            return Either.left(Failure.of(ResultCode.BAD_JSON, e.getOriginalMessage()));
        }
    }
}
