package org.hawthornglade.entry;

import com.fasterxml.jackson.annotation.JsonProperty;
import jakarta.validation.Valid;
import jakarta.validation.constraints.Max;
import jakarta.validation.constraints.Min;
import jakarta.validation.constraints.NotNull;
import java.util.List;
import org.hawthornglade.node.settings.NodeSettings;

/** The settings of an entry. */
public final class EntrySettings extends NodeSettings {
    @Valid
    @NotNull
    private List<CallerKey> callerKeys = List.of();

    @Valid
    @NotNull
    private List<OperatorToken> operatorTokens = List.of();

    @Min(1_024)
    @Max(64 * 1024 * 1024)
    private int maxBodyBytes = 4 * 1024 * 1024;

    @Min(1_024)
    @Max(256 * 1024 * 1024)
    private int maxAnswerBytes = 16 * 1024 * 1024;

    @Min(50)
    @Max(2_000)
    private long heartbeatMs = 250;

    @Min(500)
    @Max(30_000)
    private long silenceTimeoutMs = 2_000;

    @Min(100)
    @Max(3_600_000)
    private long stopTimeoutMs = 120_000;

    @Min(86_400_000L)
    @Max(10L * 366 * 86_400_000L)
    private long claimRetentionMs = 400L * 86_400_000L;

    @Min(1_000)
    @Max(3_600_000)
    private long claimCleanIntervalMs = 60_000;

    @Min(200)
    @Max(60_000)
    private long streamSilenceTimeoutMs = 5_000;

    @Min(100)
    @Max(600_000)
    private long maxBodyReadMs = 10_000;

    @Min(0)
    @Max(60_000)
    private long unhealthyMs = 1_000;

    @JsonProperty
    public List<CallerKey> getCallerKeys() {
        return callerKeys;
    }

    /** Sets the API keys that callers authenticate with. */
    @JsonProperty
    public void setCallerKeys(List<CallerKey> value) {
        callerKeys = List.copyOf(value);
    }

    @JsonProperty
    public List<OperatorToken> getOperatorTokens() {
        return operatorTokens;
    }

    /** Sets the tokens that operators authenticate with. */
    @JsonProperty
    public void setOperatorTokens(List<OperatorToken> value) {
        operatorTokens = List.copyOf(value);
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
    public int getMaxAnswerBytes() {
        return maxAnswerBytes;
    }

    /** Sets the largest response that is buffered before it is forwarded as a whole, in bytes. */
    @JsonProperty
    public void setMaxAnswerBytes(int value) {
        maxAnswerBytes = value;
    }

    @JsonProperty
    public long getHeartbeatMs() {
        return heartbeatMs;
    }

    /** Sets the maximum interval between reports of an entry and an agent when nothing changes, in milliseconds. */
    @JsonProperty
    public void setHeartbeatMs(long value) {
        heartbeatMs = value;
    }

    @JsonProperty
    public long getSilenceTimeoutMs() {
        return silenceTimeoutMs;
    }

    /** Sets the time without data from an agent after which its control connection is closed, in milliseconds. */
    @JsonProperty
    public void setSilenceTimeoutMs(long value) {
        silenceTimeoutMs = value;
    }

    @JsonProperty
    public long getClaimRetentionMs() {
        return claimRetentionMs;
    }

    /** Sets how long the claim on a non-idempotent call is kept after its last write, in milliseconds. */
    @JsonProperty
    public void setClaimRetentionMs(long value) {
        claimRetentionMs = value;
    }

    @JsonProperty
    public long getClaimCleanIntervalMs() {
        return claimCleanIntervalMs;
    }

    /** Sets the interval between scans for expired claims, each of one shard per organisation, in milliseconds. */
    @JsonProperty
    public void setClaimCleanIntervalMs(long value) {
        claimCleanIntervalMs = value;
    }

    @JsonProperty
    public long getStreamSilenceTimeoutMs() {
        return streamSilenceTimeoutMs;
    }

    /** Sets the time without data from an agent after which a response fails, in milliseconds. */
    @JsonProperty
    public void setStreamSilenceTimeoutMs(long value) {
        streamSilenceTimeoutMs = value;
    }

    @JsonProperty
    public long getMaxBodyReadMs() {
        return maxBodyReadMs;
    }

    /** Sets how long a caller may take to send the whole request body, in milliseconds. */
    @JsonProperty
    public void setMaxBodyReadMs(long value) {
        maxBodyReadMs = value;
    }

    @JsonProperty
    public long getUnhealthyMs() {
        return unhealthyMs;
    }

    /** Sets how long a stopping entry fails its health check while it still accepts requests, in milliseconds. */
    @JsonProperty
    public void setUnhealthyMs(long value) {
        unhealthyMs = value;
    }

    @JsonProperty
    public long getStopTimeoutMs() {
        return stopTimeoutMs;
    }

    /** Sets how long a stopping entry waits for requests in progress before it aborts them, in milliseconds. */
    @JsonProperty
    public void setStopTimeoutMs(long value) {
        stopTimeoutMs = value;
    }
}
