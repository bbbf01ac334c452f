package org.hawthornglade.agent;

import com.fasterxml.jackson.annotation.JsonProperty;
import jakarta.validation.constraints.Max;
import jakarta.validation.constraints.Min;
import jakarta.validation.constraints.NotBlank;
import jakarta.validation.constraints.NotNull;
import java.net.URI;
import java.util.Optional;
import org.hawthornglade.core.id.ServiceName;
import org.hawthornglade.node.settings.NodeSettings;

/** Holds the settings of an agent. */
public final class AgentSettings extends NodeSettings {
    private static final long ADAPTIVE_KEEP_ALIVE = -1;

    @NotNull
    private URI endpointUri;

    private String serviceName;

    @NotBlank
    private String controlHost = "127.0.0.1";

    @Min(0)
    @Max(65_535)
    private int controlPort;

    @Min(20)
    @Max(10_000)
    private long reportIntervalMs = 200;

    @Min(ADAPTIVE_KEEP_ALIVE)
    @Max(86_400_000)
    private long keepAliveMs = ADAPTIVE_KEEP_ALIVE;

    @Min(100)
    @Max(3_600_000)
    private long drainTimeoutMs = 120_000;

    @Min(10)
    @Max(60_000)
    private long fenceCheckMaxAgeMs = 1_000;

    @Min(50)
    @Max(60_000)
    private long keepAliveIntervalMs = 500;

    @Min(100)
    @Max(600_000)
    private long betweenBytesTimeoutMs = 10_000;

    @Min(1)
    @Max(100_000)
    private int maxRunning = 1_024;

    @Min(1_024)
    @Max(64 * 1024 * 1024)
    private int maxBodyBytes = 4 * 1024 * 1024;

    @JsonProperty
    public URI getEndpointUri() {
        return endpointUri;
    }

    /** Sets the address of the agent's engine or plain service. */
    @JsonProperty
    public void setEndpointUri(URI value) {
        endpointUri = value;
    }

    /** Returns the plain service at the endpoint; empty if it is an engine. */
    public Optional<ServiceName> service() {
        return Optional.ofNullable(serviceName).map(ServiceName::of);
    }

    @JsonProperty
    public String getServiceName() {
        return serviceName;
    }

    /** Sets the name of the plain service at the endpoint; not set for an engine. */
    @JsonProperty
    public void setServiceName(String value) {
        serviceName = value;
    }

    @JsonProperty
    public String getControlHost() {
        return controlHost;
    }

    /** Sets the IP address that the control connection listens on. */
    @JsonProperty
    public void setControlHost(String value) {
        controlHost = value;
    }

    @JsonProperty
    public int getControlPort() {
        return controlPort;
    }

    /** Sets the port that the control connection listens on. */
    @JsonProperty
    public void setControlPort(int value) {
        controlPort = value;
    }

    @JsonProperty
    public long getReportIntervalMs() {
        return reportIntervalMs;
    }

    /** Sets the interval between polls of the endpoint's state, in milliseconds. */
    @JsonProperty
    public void setReportIntervalMs(long value) {
        reportIntervalMs = value;
    }

    @JsonProperty
    public long getKeepAliveMs() {
        return keepAliveMs;
    }

    /** Returns whether models stay loaded for a fixed time instead of one derived from the configured idle price. */
    public boolean hasFixedKeepAlive() {
        return keepAliveMs != ADAPTIVE_KEEP_ALIVE;
    }

    /**
     * Sets how long a model stays loaded after its last request, in milliseconds; -1 derives it from the observed
     * idle gaps and the configured idle price.
     */
    @JsonProperty
    public void setKeepAliveMs(long value) {
        keepAliveMs = value;
    }

    @JsonProperty
    public long getDrainTimeoutMs() {
        return drainTimeoutMs;
    }

    /** Sets how long a planned stop waits for requests in progress, in milliseconds. */
    @JsonProperty
    public void setDrainTimeoutMs(long value) {
        drainTimeoutMs = value;
    }

    @JsonProperty
    public int getMaxBodyBytes() {
        return maxBodyBytes;
    }

    /** Sets the largest request body that is accepted, in bytes. */
    @JsonProperty
    public void setMaxBodyBytes(int value) {
        maxBodyBytes = value;
    }

    @JsonProperty
    public long getFenceCheckMaxAgeMs() {
        return fenceCheckMaxAgeMs;
    }

    /** Sets the largest age of the last fencing check for an order to an engine that does not check fencing numbers
     * itself, in milliseconds. */
    @JsonProperty
    public void setFenceCheckMaxAgeMs(long value) {
        fenceCheckMaxAgeMs = value;
    }

    @JsonProperty
    public int getMaxRunning() {
        return maxRunning;
    }

    /** Sets the largest number of concurrent attempts, over all models. */
    @JsonProperty
    public void setMaxRunning(int value) {
        maxRunning = value;
    }

    @JsonProperty
    public long getKeepAliveIntervalMs() {
        return keepAliveIntervalMs;
    }

    /** Sets the interval between keep-alive frames to the entry during a slow attempt, in milliseconds. */
    @JsonProperty
    public void setKeepAliveIntervalMs(long value) {
        keepAliveIntervalMs = value;
    }

    @JsonProperty
    public long getBetweenBytesTimeoutMs() {
        return betweenBytesTimeoutMs;
    }

    /** Sets the longest time without data from an endpoint in the middle of an answer, in milliseconds. */
    @JsonProperty
    public void setBetweenBytesTimeoutMs(long value) {
        betweenBytesTimeoutMs = value;
    }
}
