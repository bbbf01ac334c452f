package org.hawthornglade.standin.http;

import jakarta.ws.rs.Consumes;
import jakarta.ws.rs.GET;
import jakarta.ws.rs.PUT;
import jakarta.ws.rs.Path;
import jakarta.ws.rs.Produces;
import jakarta.ws.rs.core.MediaType;
import org.hawthornglade.standin.fault.FaultInjector;
import org.hawthornglade.standin.fault.FaultScript;

/** Returns and replaces the fault script of a stand-in. */
@Path("/faults")
@Produces(MediaType.APPLICATION_JSON)
@Consumes(MediaType.APPLICATION_JSON)
public final class FaultResource {
    private final FaultInjector faults;

    FaultResource(FaultInjector faults) {
        this.faults = faults;
    }

    @GET
    public FaultScript get() {
        return faults.script();
    }

    @PUT
    public FaultScript put(FaultScript script) {
        faults.set(script);
        return faults.script();
    }
}
