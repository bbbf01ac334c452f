package org.hawthornglade.node.settings;

import com.fasterxml.jackson.annotation.JsonProperty;
import io.dropwizard.core.Configuration;
import jakarta.validation.Valid;
import jakarta.validation.constraints.Max;
import jakarta.validation.constraints.Min;
import jakarta.validation.constraints.NotBlank;
import jakarta.validation.constraints.NotEmpty;
import jakarta.validation.constraints.NotNull;
import java.util.List;

/** The settings that all roles have. */
public class NodeSettings extends Configuration {
    @NotBlank
    private String processName = "";

    @NotBlank
    private String instanceId = "";

    @NotBlank
    private String failureDomain = "";

    @Valid
    @NotNull
    private PlatformSettings platform = new PlatformSettings();

    @NotEmpty
    private List<@NotBlank String> clusterKeys = List.of();

    @Min(100)
    @Max(100_000)
    private int timelineCapacity = 5_000;

    @Min(10)
    @Max(1_000)
    private long tickMs = 50;

    @JsonProperty
    public String getProcessName() {
        return processName;
    }

    /** Sets the name of the process in the timeline. */
    @JsonProperty
    public void setProcessName(String value) {
        processName = value;
    }

    @JsonProperty
    public String getInstanceId() {
        return instanceId;
    }

    /** Sets the id of this instance in the platform's list. */
    @JsonProperty
    public void setInstanceId(String value) {
        instanceId = value;
    }

    @JsonProperty
    public String getFailureDomain() {
        return failureDomain;
    }

    /** Sets the failure domain in which this instance runs. */
    @JsonProperty
    public void setFailureDomain(String value) {
        failureDomain = value;
    }

    @JsonProperty
    public PlatformSettings getPlatform() {
        return platform;
    }

    /** Sets the addresses and time-outs of the platform's services. */
    @JsonProperty
    public void setPlatform(PlatformSettings value) {
        platform = value;
    }

    @JsonProperty
    public List<String> getClusterKeys() {
        return clusterKeys;
    }

    /** Sets the keys that entries and agents share: proofs are made with the first and accepted with any. */
    @JsonProperty
    public void setClusterKeys(List<String> value) {
        clusterKeys = List.copyOf(value);
    }

    @JsonProperty
    public int getTimelineCapacity() {
        return timelineCapacity;
    }

    /** Sets how many timeline events are kept. */
    @JsonProperty
    public void setTimelineCapacity(int value) {
        timelineCapacity = value;
    }

    @JsonProperty
    public long getTickMs() {
        return tickMs;
    }

    /** Sets the interval between time-driven decisions, in milliseconds. */
    @JsonProperty
    public void setTickMs(long value) {
        tickMs = value;
    }
}
