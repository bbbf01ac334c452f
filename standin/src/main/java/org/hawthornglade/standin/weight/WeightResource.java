package org.hawthornglade.standin.weight;

import jakarta.ws.rs.Consumes;
import jakarta.ws.rs.POST;
import jakarta.ws.rs.Path;
import jakarta.ws.rs.Produces;
import jakarta.ws.rs.container.AsyncResponse;
import jakarta.ws.rs.container.Suspended;
import jakarta.ws.rs.core.MediaType;
import org.hawthornglade.standin.http.Responses;

/** Serves the weight store over HTTP; a fetch is answered when it has ended, and transfers no weights. */
@Path("/weights")
@Produces(MediaType.APPLICATION_JSON)
@Consumes(MediaType.APPLICATION_JSON)
public final class WeightResource {
    private final InMemoryWeightStore store;

    /** Creates the routes of a weight store. */
    public WeightResource(InMemoryWeightStore store) {
        this.store = store;
    }

    @POST
    @Path("fetch")
    public void fetch(FetchRequest request, @Suspended AsyncResponse answer) {
        store.fetch(request, result -> answer.resume(Responses.of(result)));
    }
}
