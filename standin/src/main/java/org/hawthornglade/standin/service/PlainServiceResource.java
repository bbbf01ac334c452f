package org.hawthornglade.standin.service;

import jakarta.servlet.http.HttpServletRequest;
import jakarta.ws.rs.DELETE;
import jakarta.ws.rs.GET;
import jakarta.ws.rs.PATCH;
import jakarta.ws.rs.POST;
import jakarta.ws.rs.PUT;
import jakarta.ws.rs.Path;
import jakarta.ws.rs.Produces;
import jakarta.ws.rs.container.AsyncResponse;
import jakarta.ws.rs.container.Suspended;
import jakarta.ws.rs.core.Context;
import jakarta.ws.rs.core.MediaType;
import java.util.List;
import org.hawthornglade.standin.http.Connections;
import org.hawthornglade.standin.time.Timers;

/** Executes any call: logs it, waits for the configured delay, and answers with the logged call. */
@Path("/")
@Produces(MediaType.APPLICATION_JSON)
public final class PlainServiceResource {
    private static final String ANY_PATH = "{path: .*}";

    private final PlainServiceSettings settings;
    private final ExecutionLog log;
    private final Timers timers;

    /** Creates the routes of a plain service. */
    public PlainServiceResource(PlainServiceSettings settings, ExecutionLog log, Timers timers) {
        this.settings = settings;
        this.log = log;
        this.timers = timers;
    }

    @GET
    @Path("executions")
    public List<ExecutedCall> executions() {
        return log.calls();
    }

    @GET
    @Path(ANY_PATH)
    public void get(@Context HttpServletRequest request, @Suspended AsyncResponse answer) {
        run(request, "", answer);
    }

    @DELETE
    @Path(ANY_PATH)
    public void delete(@Context HttpServletRequest request, @Suspended AsyncResponse answer) {
        run(request, "", answer);
    }

    @POST
    @Path(ANY_PATH)
    public void post(@Context HttpServletRequest request, @Suspended AsyncResponse answer, String body) {
        run(request, body, answer);
    }

    @PUT
    @Path(ANY_PATH)
    public void put(@Context HttpServletRequest request, @Suspended AsyncResponse answer, String body) {
        run(request, body, answer);
    }

    @PATCH
    @Path(ANY_PATH)
    public void patch(@Context HttpServletRequest request, @Suspended AsyncResponse answer, String body) {
        run(request, body, answer);
    }

    private void run(HttpServletRequest request, String body, AsyncResponse answer) {
        String query = request.getQueryString();
        String path = query == null ? request.getRequestURI() : request.getRequestURI() + "?" + query;
        ExecutedCall call = log.add(request.getMethod(), path, request.getHeader("Idempotency-Key"), body);
        boolean replyLost = Connections.isReplyLost(request);
        timers.after(settings.delayMs(), () -> finish(request, call, replyLost, answer));
    }

    private static void finish(HttpServletRequest request, ExecutedCall call, boolean replyLost, AsyncResponse answer) {
        if (replyLost) {
            Connections.abort(request);
            return;
        }
        answer.resume(call);
    }
}
