package org.hawthornglade.standin.http;

import jakarta.ws.rs.core.Response;
import jakarta.ws.rs.ext.ExceptionMapper;
import org.hawthornglade.core.result.Failure;
import org.hawthornglade.core.result.ResultCode;

/** Maps an argument outside its range to status 400. */
final class BadArgumentMapper implements ExceptionMapper<IllegalArgumentException> {
    @Override
    public Response toResponse(IllegalArgumentException exception) {
        return Responses.failure(Failure.of(ResultCode.BAD_REQUEST, String.valueOf(exception.getMessage())));
    }
}
