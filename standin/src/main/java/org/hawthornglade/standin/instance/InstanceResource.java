package org.hawthornglade.standin.instance;

import jakarta.ws.rs.Consumes;
import jakarta.ws.rs.GET;
import jakarta.ws.rs.PUT;
import jakarta.ws.rs.Path;
import jakarta.ws.rs.PathParam;
import jakarta.ws.rs.Produces;
import jakarta.ws.rs.core.MediaType;
import jakarta.ws.rs.core.Response;
import org.hawthornglade.core.id.InstanceId;
import org.hawthornglade.core.instance.InstanceInfo;
import org.hawthornglade.core.instance.InstanceState;
import org.hawthornglade.standin.http.Responses;

/** Serves the instance list over HTTP; the routes for changes are for operators of the platform. */
@Path("/instances")
@Produces(MediaType.APPLICATION_JSON)
@Consumes(MediaType.APPLICATION_JSON)
public final class InstanceResource {
    /**
     * A request to change the state of an instance.
     *
     * @param state the new state
     */
    public record StateChange(InstanceState state) {}

    /**
     * A request to change the lag of the list.
     *
     * @param lagMs the new lag, in milliseconds
     */
    public record LagChange(long lagMs) {}

    private final InMemoryInstanceList list;

    /** Creates the routes of an instance list. */
    public InstanceResource(InMemoryInstanceList list) {
        this.list = list;
    }

    @GET
    public Response list() {
        return Responses.of(list.list());
    }

    /** Adds or replaces an instance. */
    @PUT
    public Response put(InstanceInfo instance) {
        list.put(instance);
        return Responses.ok(instance);
    }

    /** Changes the state of an instance; 404 if there is no such instance. */
    @PUT
    @Path("{id}/state")
    public Response setState(@PathParam("id") String id, StateChange change) {
        return list.setState(InstanceId.of(id), change.state())
                ? Responses.ok(change)
                : Response.status(Response.Status.NOT_FOUND).build();
    }

    @PUT
    @Path("lag")
    public Response setLag(LagChange change) {
        list.setLagMs(change.lagMs());
        return Responses.ok(change);
    }
}
