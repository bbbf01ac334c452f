package org.hawthornglade.app.load;

import com.fasterxml.jackson.core.json.JsonReadFeature;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import java.net.URI;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Settings of a load run.
 *
 * @param entries the addresses of the entries, which requests are sent to in turn
 * @param direct the address of the engine for flows of direct calls; null if there are none
 * @param executions the addresses of plain service stand-ins whose logs record the executed calls
 * @param seed the seed of the arrival times and the choice of models
 * @param warmupMs length of the warm-up, whose requests are not measured, in milliseconds
 * @param durationMs length of the measured period, in milliseconds
 * @param drainMs how long the run waits for responses at its end, beyond the longest deadline, in milliseconds
 * @param flows the flows of requests to send
 */
public record LoadSettings(
        List<URI> entries,
        URI direct,
        List<URI> executions,
        long seed,
        long warmupMs,
        long durationMs,
        long drainMs,
        List<LoadFlow> flows) {
    private static final long DEFAULT_DRAIN_MS = 2_000;
    private static final JsonMapper MAPPER =
            JsonMapper.builder().enable(JsonReadFeature.ALLOW_JAVA_COMMENTS).build();

    /** Copies the lists and fills in defaults for missing values. */
    public LoadSettings {
        entries = entries == null ? List.of() : List.copyOf(entries);
        executions = executions == null ? List.of() : List.copyOf(executions);
        flows = flows == null ? List.of() : List.copyOf(flows);
        drainMs = drainMs == 0 ? DEFAULT_DRAIN_MS : drainMs;
    }

    /**
     * Parses settings from JSON, which may contain comments.
     *
     * @throws IOException if the text is not valid JSON or has an unknown field
     */
    public static LoadSettings parse(String json) throws IOException {
        return MAPPER.readValue(json, LoadSettings.class);
    }

    /** Returns the faults of the settings and their flows; empty if they are valid. */
    public List<String> faults() {
        List<String> faults = new ArrayList<>();
        Set<String> names = new HashSet<>();
        for (LoadFlow flow : flows) {
            faults.addAll(flow.faults());
            if (!names.add(flow.name())) {
                faults.add("two flows have the name " + flow.name());
            }
        }
        for (LoadFlow flow : flows) {
            if (flow.directFlow() != null && !names.contains(flow.directFlow())) {
                faults.add(flow.name() + ": there is no flow " + flow.directFlow());
            }
            if (flow.kind() == FlowKind.DIRECT_CHAT && direct == null) {
                faults.add(flow.name() + ": direct is missing");
            }
            if (flow.kind() != FlowKind.DIRECT_CHAT && entries.isEmpty()) {
                faults.add(flow.name() + ": entries is empty");
            }
        }
        if (flows.isEmpty()) {
            faults.add("flows is empty");
        }
        if (durationMs < 1 || warmupMs < 0 || drainMs < 0) {
            faults.add("durationMs must be at least 1, warmupMs and drainMs must not be negative");
        }
        return faults;
    }

    /** Returns the settings with the given addresses in place of the configured ones; empty or null ones keep them. */
    public LoadSettings withAddresses(List<URI> otherEntries, URI otherDirect, List<URI> otherExecutions) {
        return new LoadSettings(
                otherEntries.isEmpty() ? entries : otherEntries,
                otherDirect == null ? direct : otherDirect,
                otherExecutions.isEmpty() ? executions : otherExecutions,
                seed,
                warmupMs,
                durationMs,
                drainMs,
                flows);
    }
}
