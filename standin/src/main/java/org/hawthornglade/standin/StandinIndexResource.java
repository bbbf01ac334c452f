package org.hawthornglade.standin;

import jakarta.ws.rs.GET;
import jakarta.ws.rs.Path;
import jakarta.ws.rs.Produces;
import jakarta.ws.rs.core.MediaType;
import java.util.LinkedHashMap;
import java.util.Map;

/** Lists the stand-ins of the process and their addresses. */
@Path("/standins")
@Produces(MediaType.APPLICATION_JSON)
public final class StandinIndexResource {
    private final Standins standins;

    StandinIndexResource(Standins standins) {
        this.standins = standins;
    }

    /** Returns the address of each stand-in by its name. */
    @GET
    public Map<String, String> addresses() {
        Map<String, String> addresses = new LinkedHashMap<>();
        standins.names().forEach(name -> addresses.put(name, standins.uri(name).toString()));
        return addresses;
    }
}
