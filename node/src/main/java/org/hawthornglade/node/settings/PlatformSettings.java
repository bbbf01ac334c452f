package org.hawthornglade.node.settings;

import com.fasterxml.jackson.annotation.JsonProperty;
import jakarta.validation.constraints.Max;
import jakarta.validation.constraints.Min;
import jakarta.validation.constraints.NotNull;
import java.net.URI;

/** The addresses of the platform's services, their time-outs and the intervals between reads. */
public final class PlatformSettings {
    @NotNull
    private URI tableServiceUri;

    @NotNull
    private URI instanceListUri;

    @Min(10)
    @Max(60_000)
    private int connectTimeoutMs = 1_000;

    @Min(10)
    @Max(60_000)
    private int responseTimeoutMs = 2_000;

    @Min(100)
    @Max(60_000)
    private long instanceListIntervalMs = 1_000;

    @Min(100)
    @Max(60_000)
    private long tableReadIntervalMs = 2_000;

    @JsonProperty
    public URI getTableServiceUri() {
        return tableServiceUri;
    }

    /** Sets the base URI of the table service. */
    @JsonProperty
    public void setTableServiceUri(URI value) {
        tableServiceUri = value;
    }

    @JsonProperty
    public URI getInstanceListUri() {
        return instanceListUri;
    }

    /** Sets the base URI of the instance list. */
    @JsonProperty
    public void setInstanceListUri(URI value) {
        instanceListUri = value;
    }

    @JsonProperty
    public int getConnectTimeoutMs() {
        return connectTimeoutMs;
    }

    /** Sets how long to wait for a connection to the platform, in milliseconds. */
    @JsonProperty
    public void setConnectTimeoutMs(int value) {
        connectTimeoutMs = value;
    }

    @JsonProperty
    public int getResponseTimeoutMs() {
        return responseTimeoutMs;
    }

    /** Sets how long to wait for the platform's response, in milliseconds. */
    @JsonProperty
    public void setResponseTimeoutMs(int value) {
        responseTimeoutMs = value;
    }

    @JsonProperty
    public long getInstanceListIntervalMs() {
        return instanceListIntervalMs;
    }

    /** Sets the interval between reads of the instance list, in milliseconds. */
    @JsonProperty
    public void setInstanceListIntervalMs(long value) {
        instanceListIntervalMs = value;
    }

    @JsonProperty
    public long getTableReadIntervalMs() {
        return tableReadIntervalMs;
    }

    /** Sets the interval between reads of configuration and assignments from the table service, in milliseconds. */
    @JsonProperty
    public void setTableReadIntervalMs(long value) {
        tableReadIntervalMs = value;
    }
}
