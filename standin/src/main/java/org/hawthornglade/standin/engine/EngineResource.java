package org.hawthornglade.standin.engine;

import jakarta.ws.rs.Consumes;
import jakarta.ws.rs.GET;
import jakarta.ws.rs.POST;
import jakarta.ws.rs.Path;
import jakarta.ws.rs.PathParam;
import jakarta.ws.rs.Produces;
import jakarta.ws.rs.core.MediaType;
import jakarta.ws.rs.core.Response;
import java.util.List;
import java.util.Map;
import org.hawthornglade.core.engine.EngineModel;
import org.hawthornglade.core.engine.EngineOrder;
import org.hawthornglade.core.id.ModelName;
import org.hawthornglade.standin.http.Responses;

/** Serves the control interface of an engine over HTTP, and its observation routes. */
@Path("/engine")
@Produces(MediaType.APPLICATION_JSON)
public final class EngineResource {
    private final InMemoryEngine engine;
    private final ReplicaCounter replicaCounter;

    /** Creates the control routes of an engine. */
    public EngineResource(InMemoryEngine engine, ReplicaCounter replicaCounter) {
        this.engine = engine;
        this.replicaCounter = replicaCounter;
    }

    @POST
    @Path("orders")
    @Consumes(MediaType.APPLICATION_JSON)
    public Response order(EngineOrder order) {
        return Responses.of(engine.order(order));
    }

    @GET
    @Path("report")
    public Response report() {
        return Responses.of(engine.report());
    }

    /** Cancels a request; 404 if the engine does not know the request. */
    @POST
    @Path("requests/{id}/cancel")
    public Response cancel(@PathParam("id") String id) {
        boolean known = engine.inference().cancel(id);
        return Response.status(known ? Response.Status.OK : Response.Status.NOT_FOUND)
                .entity("{\"cancelled\":" + known + "}")
                .build();
    }

    /** Returns the models that the engine currently holds, without the report lag. */
    @GET
    @Path("models")
    public List<EngineModel> models() {
        return engine.state().models();
    }

    @GET
    @Path("violations")
    public List<Violation> violations() {
        return engine.state().violations();
    }

    /** Returns how many engines of this process hold each model, currently and at the maximum. */
    @GET
    @Path("held")
    public Map<ModelName, ReplicaCounter.Count> replicaCounts() {
        return replicaCounter.counts();
    }

    /** Restarts the engine: ends its current run and begins a new one. */
    @POST
    @Path("restart")
    public Response restart() {
        engine.restart();
        return Responses.ok(engine.state().report());
    }
}
