package org.hawthornglade.entry.caller;

import io.vavr.control.Either;
import jakarta.ws.rs.Consumes;
import jakarta.ws.rs.DELETE;
import jakarta.ws.rs.GET;
import jakarta.ws.rs.POST;
import jakarta.ws.rs.PUT;
import jakarta.ws.rs.Path;
import jakarta.ws.rs.PathParam;
import jakarta.ws.rs.core.Context;
import jakarta.ws.rs.core.HttpHeaders;
import jakarta.ws.rs.core.MediaType;
import jakarta.ws.rs.core.Response;
import jakarta.ws.rs.core.UriInfo;
import java.io.IOException;
import java.io.InputStream;
import org.hawthornglade.core.config.OperationSpec;
import org.hawthornglade.core.id.RequestId;
import org.hawthornglade.core.id.ServiceName;
import org.hawthornglade.core.result.Failure;
import org.hawthornglade.core.result.ResultCode;
import org.hawthornglade.entry.attempt.CallerRequest;
import org.hawthornglade.entry.attempt.OutboundCall;
import org.hawthornglade.entry.attempt.RequestRunner;
import org.hawthornglade.entry.claim.ClaimKey;

/** Calls to plain services. */
@Path("/services/{service}")
@Consumes(MediaType.WILDCARD)
public final class ServicesResource {
    private final CallerKeys keys;
    private final RequestFactory requests;
    private final RequestRunner runner;
    private final int maxBodyBytes;

    /** Creates the resource. */
    public ServicesResource(CallerKeys keys, RequestFactory requests, RequestRunner runner, int maxBodyBytes) {
        this.keys = keys;
        this.requests = requests;
        this.runner = runner;
        this.maxBodyBytes = maxBodyBytes;
    }

    /** Passes a GET on. */
    @GET
    @Path("/{path: .*}")
    public Response get(@PathParam("service") String service, @Context UriInfo uri, @Context HttpHeaders headers)
            throws IOException, InterruptedException {
        return call(service, "GET", uri, headers, InputStream.nullInputStream());
    }

    /** Passes a POST on. */
    @POST
    @Path("/{path: .*}")
    public Response post(
            @PathParam("service") String service, @Context UriInfo uri, @Context HttpHeaders headers, InputStream in)
            throws IOException, InterruptedException {
        return call(service, "POST", uri, headers, in);
    }

    /** Passes a PUT on. */
    @PUT
    @Path("/{path: .*}")
    public Response put(
            @PathParam("service") String service, @Context UriInfo uri, @Context HttpHeaders headers, InputStream in)
            throws IOException, InterruptedException {
        return call(service, "PUT", uri, headers, in);
    }

    /** Passes a DELETE on. */
    @DELETE
    @Path("/{path: .*}")
    public Response delete(
            @PathParam("service") String service, @Context UriInfo uri, @Context HttpHeaders headers, InputStream in)
            throws IOException, InterruptedException {
        return call(service, "DELETE", uri, headers, in);
    }

    private Response call(String service, String method, UriInfo uri, HttpHeaders headers, InputStream in)
            throws IOException, InterruptedException {
        RequestId id = requests.nextId();
        Either<Failure, Caller> caller = keys.authenticate(headers.getHeaderString(HttpHeaders.AUTHORIZATION));
        if (caller.isLeft()) {
            return Responses.failure(id, caller.getLeft());
        }
        byte[] body = in.readNBytes(maxBodyBytes + 1);
        if (body.length > maxBodyBytes) {
            return Responses.failure(
                    id, Failure.of(ResultCode.BODY_TOO_LARGE, "the body is larger than " + maxBodyBytes + " bytes"));
        }
        Either<Failure, CallerRequest> checked = check(id, caller.get(), service, method, uri, headers, body);
        if (checked.isLeft()) {
            return Responses.failure(id, checked.getLeft());
        }
        return runner.whole(checked.get())
                .fold(failure -> Responses.failure(id, failure), answer -> Responses.whole(id, answer));
    }

    private Either<Failure, CallerRequest> check(
            RequestId id,
            Caller caller,
            String serviceText,
            String method,
            UriInfo uri,
            HttpHeaders headers,
            byte[] body) {
        ServiceName service;
        try {
            service = ServiceName.of(serviceText);
        } catch (IllegalArgumentException e) {
            return Either.left(Failure.of(ResultCode.UNKNOWN_SERVICE, e.getMessage()));
        }
        String path = "/" + uri.getPathParameters(false).getFirst("path");
        Either<Failure, OperationSpec> operation = requests.findOperation(caller, service, method, path);
        if (operation.isLeft()) {
            return Either.left(operation.getLeft());
        }
        String query = uri.getRequestUri().getRawQuery();
        String target = query == null ? path : path + "?" + query;
        String idempotencyKey = headers.getHeaderString(CallerHeaders.IDEMPOTENCY_KEY);
        if (!operation.get().idempotent() && (idempotencyKey == null || idempotencyKey.isBlank())) {
            return Either.left(
                    Failure.of(ResultCode.MISSING_IDEMPOTENCY_KEY, "this call needs the header Idempotency-Key"));
        }
        OutboundCall call = new OutboundCall(
                method, target, headers.getHeaderString(HttpHeaders.CONTENT_TYPE), CallerHeaders.passed(headers), body);
        ClaimKey claimKey = operation.get().idempotent()
                ? null
                : new ClaimKey(caller.organisation(), idempotencyKey, ClaimKey.fingerprint(method, target, body));
        return requests.onService(id, caller, service, operation.get(), headers.getHeaderString(CallerHeaders.DEADLINE))
                .map(request -> new CallerRequest(request, call, claimKey));
    }
}
