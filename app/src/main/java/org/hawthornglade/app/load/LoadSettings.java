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
 * Settings of a run of load.
 *
 * @param entries the addresses of the entries; requests go to them in turn
 * @param direct the address of an engine for the flows of direct calls; null if there are none
 * @param executions the addresses of plain stand-ins whose logs tell what really ran
 * @param seed of the arrival times and the choice of models
 * @param warmupMs how long requests are sent before they count, in milliseconds
 * @param durationMs how long requests are sent that count, in milliseconds
 * @param drainMs how long the run waits for answers at its end, beyond the last deadline, in milliseconds
 * @param flows what is sent
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

    /** Copies the lists. */
    public LoadSettings {
        entries = entries == null ? List.of() : List.copyOf(entries);
        executions = executions == null ? List.of() : List.copyOf(executions);
        flows = flows == null ? List.of() : List.copyOf(flows);
        drainMs = drainMs == 0 ? DEFAULT_DRAIN_MS : drainMs;
    }

    /**
     * Reads JSON with comments.
     *
     * @throws IOException if the text is none, or has an unknown field
     */
    public static LoadSettings parse(String json) throws IOException {
        return MAPPER.readValue(json, LoadSettings.class);
    }

    /** Returns what is wrong with the settings, one sentence each; empty if nothing is. */
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
            faults.add("durationMs must be at least 1, and no time negative");
        }
        return faults;
    }

    /** Returns the settings with other addresses, where some are given. */
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
