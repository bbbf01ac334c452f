package org.hawthornglade.standin.table;

import io.vavr.control.Either;
import jakarta.ws.rs.Consumes;
import jakarta.ws.rs.GET;
import jakarta.ws.rs.POST;
import jakarta.ws.rs.Path;
import jakarta.ws.rs.PathParam;
import jakarta.ws.rs.Produces;
import jakarta.ws.rs.QueryParam;
import jakarta.ws.rs.core.MediaType;
import jakarta.ws.rs.core.Response;
import org.hawthornglade.core.result.Failure;
import org.hawthornglade.ports.table.Transaction;
import org.hawthornglade.standin.http.Responses;

/** Serves the table service over HTTP. */
@Path("/tables")
@Produces(MediaType.APPLICATION_JSON)
@Consumes(MediaType.APPLICATION_JSON)
public final class TableResource {
    private final InMemoryTableService tables;

    /** Creates the routes of a table service. */
    public TableResource(InMemoryTableService tables) {
        this.tables = tables;
    }

    @POST
    @Path("transact")
    public Response transact(Transaction transaction) {
        return Responses.of(tables.transact(transaction));
    }

    /** Reads one row; 404 if it is absent. */
    @GET
    @Path("rows/{table}/{key}")
    public Response read(@PathParam("table") String table, @PathParam("key") String key) {
        Either<Failure, Response> response = tables.read(table, key)
                .map(row -> row.map(Responses::ok)
                        .orElseGet(
                                () -> Response.status(Response.Status.NOT_FOUND).build()));
        return response.getOrElseGet(Responses::failure);
    }

    @GET
    @Path("rows/{table}")
    public Response scan(@PathParam("table") String table, @QueryParam("prefix") String prefix) {
        return Responses.of(tables.scan(table, prefix == null ? "" : prefix));
    }

    /** Returns the call counts; this call itself is not counted. */
    @GET
    @Path("calls")
    public CallCounts calls() {
        return tables.calls();
    }
}
