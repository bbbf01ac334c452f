package org.hawthornglade.app.load;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import org.hawthornglade.core.result.Execution;
import org.hawthornglade.core.result.ResultCode;
import org.hawthornglade.standin.engine.AnswerText;

/** Classifies whether a response is complete and belongs to its request, by the format of the stand-ins' responses. */
final class ResponseClassifier {
    private static final JsonMapper MAPPER = JsonMapper.builder().build();
    private static final String DATA_PREFIX = "data: ";
    private static final String END_MARKER = "[DONE]";
    private static final int OK = 200;

    private ResponseClassifier() {}

    static Verdict classify(LoadFlow flow, PlannedRequest request, CollectedResponse response) {
        if (response.failure() != null) {
            return Verdict.lost(response.failure());
        }
        try {
            if (response.status() != OK) {
                return classifyError(MAPPER.readTree(response.body()).path("error"), response.status());
            }
            if (flow.kind() == FlowKind.SERVICE) {
                return classifyEcho(request, MAPPER.readTree(response.body()));
            }
            return flow.stream()
                    ? classifyEventStream(flow, request, response.body())
                    : classifyObject(flow, request, response.body());
        } catch (JsonProcessingException e) {
            return Verdict.wrong("not JSON, status " + response.status() + ": " + e.getOriginalMessage());
        }
    }

    private static Verdict classifyError(JsonNode error, int status) {
        int code = error.path("code").asInt(0);
        boolean notRun = ResultCode.ofNumber(code)
                .map(known -> known.execution() == Execution.NOT_RUN)
                .orElse(false);
        return new Verdict(
                Verdict.Kind.REFUSED,
                code,
                notRun,
                status + " " + error.path("message").asText());
    }

    private static Verdict classifyEcho(PlannedRequest request, JsonNode echo) {
        boolean matches = request.body().equals(echo.path("body").asText())
                && request.method().equals(echo.path("method").asText());
        return matches ? Verdict.whole() : Verdict.wrong("not the echo of this request");
    }

    private static Verdict classifyObject(LoadFlow flow, PlannedRequest request, String body)
            throws JsonProcessingException {
        String text = MAPPER.readTree(body)
                .path("choices")
                .path(0)
                .path("message")
                .path("content")
                .asText();
        return classifyText(flow, request, text);
    }

    private static Verdict classifyEventStream(LoadFlow flow, PlannedRequest request, String body)
            throws JsonProcessingException {
        StringBuilder text = new StringBuilder();
        boolean done = false;
        for (String line : body.split("\n", -1)) {
            if (!line.startsWith(DATA_PREFIX)) {
                continue;
            }
            String data = line.substring(DATA_PREFIX.length()).trim();
            if (END_MARKER.equals(data)) {
                done = true;
                continue;
            }
            JsonNode event = MAPPER.readTree(data);
            if (event.has("error")) {
                return classifyError(event.path("error"), OK);
            }
            text.append(
                    event.path("choices").path(0).path("delta").path("content").asText(""));
        }
        return done ? classifyText(flow, request, text.toString()) : Verdict.lost("no end marker");
    }

    private static Verdict classifyText(LoadFlow flow, PlannedRequest request, String text) {
        return AnswerText.isComplete(text, request.prompt(), flow.maxTokens())
                ? Verdict.whole()
                : Verdict.wrong("not the complete response to this prompt");
    }
}
