package org.hawthornglade.standin;

import com.fasterxml.jackson.annotation.JsonProperty;
import io.dropwizard.core.Configuration;
import jakarta.validation.constraints.NotEmpty;
import java.util.List;

/** Configuration of the stand-in application. */
public final class StandinConfiguration extends Configuration {
    @NotEmpty
    @JsonProperty
    private List<StandinSettings> servers = List.of();

    /** Returns the stand-ins to run. */
    public List<StandinSettings> getServers() {
        return servers;
    }
}
