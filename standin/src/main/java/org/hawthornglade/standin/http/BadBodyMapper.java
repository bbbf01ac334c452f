package org.hawthornglade.standin.http;

import com.fasterxml.jackson.core.JsonProcessingException;
import jakarta.ws.rs.core.Response;
import jakarta.ws.rs.ext.ExceptionMapper;
import org.hawthornglade.core.result.Failure;
import org.hawthornglade.core.result.ResultCode;

/** Maps a body that is not valid JSON of the expected type to status 400. */
final class BadBodyMapper implements ExceptionMapper<JsonProcessingException> {
    @Override
    public Response toResponse(JsonProcessingException exception) {
        return Responses.failure(Failure.of(ResultCode.BAD_JSON, exception.getOriginalMessage()));
    }
}
