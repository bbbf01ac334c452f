package org.hawthornglade.entry.caller;

import io.vavr.control.Either;
import jakarta.ws.rs.Consumes;
import jakarta.ws.rs.DELETE;
import jakarta.ws.rs.GET;
import jakarta.ws.rs.HEAD;
import jakarta.ws.rs.OPTIONS;
import jakarta.ws.rs.PATCH;
import jakarta.ws.rs.POST;
import jakarta.ws.rs.PUT;
import jakarta.ws.rs.Path;
import jakarta.ws.rs.PathParam;
import jakarta.ws.rs.core.Context;
import jakarta.ws.rs.core.HttpHeaders;
import jakarta.ws.rs.core.MediaType;
import jakarta.ws.rs.core.Response;
import jakarta.ws.rs.core.UriInfo;
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

/** The HTTP routes for calls to plain services. */
@Path("/services/{service}")
@Consumes(MediaType.WILDCARD)
public final class ServicesResource {
    private static final String ANY_PATH = "/{path: .*}";

    private final CallerKeys keys;
    private final RequestFactory requests;
    private final RequestRunner runner;
    private final BodyReader bodies;

    /** Creates the resource. */
    public ServicesResource(CallerKeys keys, RequestFactory requests, RequestRunner runner, BodyReader bodies) {
        this.keys = keys;
        this.requests = requests;
        this.runner = runner;
        this.bodies = bodies;
    }

    /** Forwards a GET call to a service. */
    @GET
    @Path(ANY_PATH)
    public Response get(@PathParam("service") String service, @Context UriInfo uri, @Context HttpHeaders headers)
            throws InterruptedException {
        return call(service, "GET", uri, headers, InputStream.nullInputStream());
    }

    /** Forwards a HEAD call to a service. */
    @HEAD
    @Path(ANY_PATH)
    public Response head(@PathParam("service") String service, @Context UriInfo uri, @Context HttpHeaders headers)
            throws InterruptedException {
        return call(service, "HEAD", uri, headers, InputStream.nullInputStream());
    }

    /** Forwards an OPTIONS call to a service. */
    @OPTIONS
    @Path(ANY_PATH)
    public Response options(@PathParam("service") String service, @Context UriInfo uri, @Context HttpHeaders headers)
            throws InterruptedException {
        return call(service, "OPTIONS", uri, headers, InputStream.nullInputStream());
    }

    /** Forwards a POST call to a service. */
    @POST
    @Path(ANY_PATH)
    public Response post(
            @PathParam("service") String service, @Context UriInfo uri, @Context HttpHeaders headers, InputStream in)
            throws InterruptedException {
        return call(service, "POST", uri, headers, in);
    }

    /** Forwards a PUT call to a service. */
    @PUT
    @Path(ANY_PATH)
    public Response put(
            @PathParam("service") String service, @Context UriInfo uri, @Context HttpHeaders headers, InputStream in)
            throws InterruptedException {
        return call(service, "PUT", uri, headers, in);
    }

    /** Forwards a PATCH call to a service. */
    @PATCH
    @Path(ANY_PATH)
    public Response patch(
            @PathParam("service") String service, @Context UriInfo uri, @Context HttpHeaders headers, InputStream in)
            throws InterruptedException {
        return call(service, "PATCH", uri, headers, in);
    }

    /** Forwards a DELETE call to a service. */
    @DELETE
    @Path(ANY_PATH)
    public Response delete(
            @PathParam("service") String service, @Context UriInfo uri, @Context HttpHeaders headers, InputStream in)
            throws InterruptedException {
        return call(service, "DELETE", uri, headers, in);
    }

    private Response call(String service, String method, UriInfo uri, HttpHeaders headers, InputStream in)
            throws InterruptedException {
        RequestId id = requests.nextId();
        Either<Failure, Caller> caller = keys.authenticate(headers.getHeaderString(HttpHeaders.AUTHORIZATION));
        if (caller.isLeft()) {
            return Responses.failure(id, caller.getLeft());
        }
        Either<Failure, CallerRequest> checked =
                bodies.read(headers, in).flatMap(body -> check(id, caller.get(), service, method, uri, headers, body));
        if (checked.isLeft()) {
            return Responses.failure(id, checked.getLeft());
        }
        return runner.runToCompletion(checked.get())
                .fold(failure -> Responses.failure(id, failure), response -> Responses.complete(id, response));
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
        Either<Failure, ServicePath> servicePath =
                ServicePath.of("/" + uri.getPathParameters(false).getFirst("path"));
        if (servicePath.isLeft()) {
            return Either.left(servicePath.getLeft());
        }
        String path = servicePath.get().raw();
        Either<Failure, OperationSpec> operation = requests.findOperation(caller, service, method, servicePath.get());
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
                method,
                target,
                headers.getHeaderString(HttpHeaders.CONTENT_TYPE),
                CallerHeaders.forwarded(headers),
                body);
        ClaimKey claimKey = operation.get().idempotent()
                ? null
                : new ClaimKey(caller.organisation(), idempotencyKey, ClaimKey.fingerprint(method, target, body));
        return requests.serviceRequest(
                        id, caller, service, operation.get(), headers.getHeaderString(CallerHeaders.DEADLINE))
                .map(request -> new CallerRequest(request, call, claimKey));
    }
}
