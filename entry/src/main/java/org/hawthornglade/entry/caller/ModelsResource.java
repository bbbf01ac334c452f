package org.hawthornglade.entry.caller;

import io.vavr.control.Either;
import jakarta.ws.rs.Consumes;
import jakarta.ws.rs.GET;
import jakarta.ws.rs.POST;
import jakarta.ws.rs.Path;
import jakarta.ws.rs.Produces;
import jakarta.ws.rs.core.Context;
import jakarta.ws.rs.core.HttpHeaders;
import jakarta.ws.rs.core.MediaType;
import jakarta.ws.rs.core.Response;
import jakarta.ws.rs.core.StreamingOutput;
import java.io.InputStream;
import java.util.List;
import org.hawthornglade.core.entry.AttemptOutcome;
import org.hawthornglade.core.entry.IncomingRequest;
import org.hawthornglade.core.id.ModelName;
import org.hawthornglade.core.id.RequestId;
import org.hawthornglade.core.result.Failure;
import org.hawthornglade.entry.attempt.CallerRequest;
import org.hawthornglade.entry.attempt.OutboundCall;
import org.hawthornglade.entry.attempt.RequestRunner;
import org.hawthornglade.entry.attempt.StreamingResponse;

/** The OpenAI-compatible HTTP routes. */
@Path("/v1")
@Produces(MediaType.APPLICATION_JSON)
public final class ModelsResource {
    private static final String EVENT_STREAM = "text/event-stream";

    private final CallerKeys keys;
    private final RequestFactory requests;
    private final RequestRunner runner;
    private final BodyReader bodies;
    private final ModelStateTracker modelStates;

    /** Creates the resource. */
    public ModelsResource(
            CallerKeys keys,
            RequestFactory requests,
            RequestRunner runner,
            BodyReader bodies,
            ModelStateTracker modelStates) {
        this.keys = keys;
        this.requests = requests;
        this.runner = runner;
        this.bodies = bodies;
        this.modelStates = modelStates;
    }

    /** Completes a chat conversation. */
    @POST
    @Path("/chat/completions")
    @Consumes(MediaType.WILDCARD)
    public Response chat(@Context HttpHeaders headers, InputStream in) throws InterruptedException {
        return complete("/v1/chat/completions", true, headers, in);
    }

    /** Completes a prompt. */
    @POST
    @Path("/completions")
    @Consumes(MediaType.WILDCARD)
    public Response text(@Context HttpHeaders headers, InputStream in) throws InterruptedException {
        return complete("/v1/completions", false, headers, in);
    }

    /** Lists the models that the caller's organisation may use. */
    @GET
    @Path("/models")
    public Response models(@Context HttpHeaders headers) {
        Either<Failure, Caller> caller = keys.authenticate(headers.getHeaderString(HttpHeaders.AUTHORIZATION));
        if (caller.isLeft()) {
            return Responses.failure(requests.nextId(), caller.getLeft());
        }
        List<ModelList.Entry> entries = requests.allowedModels(caller.get().organisation()).stream()
                .map(this::entryOf)
                .toList();
        return Response.ok(new ModelList("list", entries))
                .header(Responses.REQUEST_ID, requests.nextId().value())
                .build();
    }

    private ModelList.Entry entryOf(ModelName name) {
        ModelStateTracker.ModelState state = modelStates.stateOf(requests.baseOf(name));
        return new ModelList.Entry(
                name.value(),
                "model",
                requests.configuredAtSeconds(),
                "hawthornglade",
                state.name(),
                state.readyReplicas());
    }

    private Response complete(String path, boolean chat, HttpHeaders headers, InputStream in)
            throws InterruptedException {
        RequestId id = requests.nextId();
        Either<Failure, Caller> caller = keys.authenticate(headers.getHeaderString(HttpHeaders.AUTHORIZATION));
        if (caller.isLeft()) {
            return Responses.failure(id, caller.getLeft());
        }
        Either<Failure, byte[]> read = bodies.read(headers, in);
        if (read.isLeft()) {
            return Responses.failure(id, read.getLeft());
        }
        byte[] body = read.get();
        Either<Failure, CompletionBody> parsed = CompletionBody.parse(body, chat);
        if (parsed.isLeft()) {
            return Responses.failure(id, parsed.getLeft());
        }
        Either<Failure, IncomingRequest> request = requests.modelRequest(
                id, caller.get(), parsed.get().model(), headers.getHeaderString(CallerHeaders.DEADLINE));
        if (request.isLeft()) {
            return Responses.failure(id, request.getLeft());
        }
        OutboundCall call = new OutboundCall("POST", path, MediaType.APPLICATION_JSON, List.of(), body);
        CallerRequest checked = new CallerRequest(request.get(), call, null);
        return parsed.get().stream() ? stream(checked) : complete(checked);
    }

    private Response complete(CallerRequest request) throws InterruptedException {
        RequestId id = request.request().id();
        return runner.runToCompletion(request)
                .fold(failure -> Responses.failure(id, failure), response -> Responses.complete(id, response));
    }

    private Response stream(CallerRequest request) throws InterruptedException {
        RequestId id = request.request().id();
        Either<Failure, StreamingResponse> started = runner.startStreaming(request);
        if (started.isLeft()) {
            return Responses.failure(id, started.getLeft());
        }
        StreamingResponse streaming = started.get();
        StreamingOutput output = out -> {
            AttemptOutcome outcome = runner.stream(streaming, out);
            if (!outcome.isComplete()) {
                out.write(EventStreams.errorEvent(outcome.failure()));
                out.flush();
            }
        };
        return Response.status(streaming.response().status())
                .type(EVENT_STREAM)
                .header(Responses.REQUEST_ID, id.value())
                .header(HttpHeaders.CACHE_CONTROL, "no-cache")
                .entity(output)
                .build();
    }
}
