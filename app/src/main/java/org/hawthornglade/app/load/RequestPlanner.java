package org.hawthornglade.app.load;

import java.net.URI;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Creates the request of an arrival, with a unique prompt or body, so that mixed-up responses are detected. */
final class RequestPlanner {
    private static final String FILLER = " lorem ipsum";

    private final LoadSettings settings;
    private final String runId;

    /**
     * Creates a planner.
     *
     * @param runId distinguishes the idempotency keys and prompts of different runs
     */
    RequestPlanner(LoadSettings settings, String runId) {
        this.settings = settings;
        this.runId = runId;
    }

    PlannedRequest plan(Arrival arrival) {
        LoadFlow flow = settings.flows().get(arrival.flow());
        return flow.kind() == FlowKind.SERVICE ? serviceRequest(arrival, flow) : chatRequest(arrival, flow);
    }

    private PlannedRequest chatRequest(Arrival arrival, LoadFlow flow) {
        String prompt = prompt(arrival, flow);
        String body = "{\"model\":\"" + flow.models().get(arrival.model()) + "\",\"stream\":" + flow.stream()
                + ",\"max_tokens\":" + flow.maxTokens() + ",\"messages\":[{\"role\":\"user\",\"content\":\"" + prompt
                + "\"}]}";
        URI base = flow.kind() == FlowKind.DIRECT_CHAT ? settings.direct() : entry(arrival);
        return new PlannedRequest(
                arrival, "POST", append(base, "/v1/chat/completions"), headers(flow, null), body, prompt, null);
    }

    private PlannedRequest serviceRequest(Arrival arrival, LoadFlow flow) {
        String id = flow.name() + "-" + arrival.sequence();
        String key = flow.idempotent() ? null : runId + "-" + id;
        URI uri = append(entry(arrival), "/services/" + flow.service() + flow.path() + arrival.sequence());
        String body = "GET".equals(flow.method()) ? "" : "{\"request\":\"" + runId + "-" + id + "\"}";
        return new PlannedRequest(arrival, flow.method(), uri, headers(flow, key), body, "", key);
    }

    private String prompt(Arrival arrival, LoadFlow flow) {
        StringBuilder text = new StringBuilder(runId + " " + flow.name() + " " + arrival.sequence());
        while (text.length() < flow.promptChars()) {
            text.append(FILLER);
        }
        return text.toString();
    }

    private URI entry(Arrival arrival) {
        List<URI> entries = settings.entries();
        return entries.get(arrival.sequence() % entries.size());
    }

    private static Map<String, String> headers(LoadFlow flow, String idempotencyKey) {
        Map<String, String> headers = new LinkedHashMap<>();
        headers.put("Content-Type", "application/json");
        headers.put("X-Deadline-Ms", Long.toString(flow.deadlineMs()));
        if (flow.key() != null) {
            headers.put("Authorization", "Bearer " + flow.key());
        }
        if (idempotencyKey != null) {
            headers.put("Idempotency-Key", idempotencyKey);
        }
        return headers;
    }

    private static URI append(URI base, String path) {
        String text = base.toString();
        return URI.create((text.endsWith("/") ? text.substring(0, text.length() - 1) : text) + path);
    }
}
