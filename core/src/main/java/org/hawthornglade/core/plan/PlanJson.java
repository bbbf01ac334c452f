package org.hawthornglade.core.plan;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.json.JsonMapper;
import io.vavr.control.Either;
import java.io.UncheckedIOException;
import org.hawthornglade.core.result.Failure;
import org.hawthornglade.core.result.ResultCode;

/** The JSON form of a plan, as stored in the table service and shown to programs. */
public final class PlanJson {
    private static final JsonMapper MAPPER = JsonMapper.builder()
            .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
            .build();

    private PlanJson() {}

    /** Writes a plan. */
    public static String write(Plan plan) {
        try {
            return MAPPER.writeValueAsString(plan);
        } catch (JsonProcessingException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Reads a plan; left with {@link ResultCode#BAD_JSON} if the text is none. */
    public static Either<Failure, Plan> read(String json) {
        try {
            return Either.right(MAPPER.readValue(json, Plan.class));
        } catch (JsonProcessingException e) {
            return Either.left(Failure.of(ResultCode.BAD_JSON, e.getOriginalMessage()));
        }
    }
}
