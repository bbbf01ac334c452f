package org.hawthornglade.app.load;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import org.hawthornglade.core.result.Execution;
import org.hawthornglade.core.result.ResultCode;
import org.hawthornglade.standin.engine.AnswerText;

/** Tells whether an answer is whole and to its own request; it knows the answers of the stand-ins. */
final class ResponseClassifier {
    private static final JsonMapper MAPPER = JsonMapper.builder().build();
    private static final String DATA_PREFIX = "data: ";
    private static final String END_MARKER = "[DONE]";
    private static final int OK = 200;

    private ResponseClassifier() {}

    static Verdict classify(LoadFlow flow, PlannedRequest request, CollectedResponse answer) {
        if (answer.failure() != null) {
            return Verdict.lost(answer.failure());
        }
        try {
            if (answer.status() != OK) {
                return classifyError(MAPPER.readTree(answer.body()).path("error"), answer.status());
            }
            if (flow.kind() == FlowKind.SERVICE) {
                return classifyEcho(request, MAPPER.readTree(answer.body()));
            }
            return flow.stream() ? classifyEventStream(flow, request, answer.body()) : classifyObject(flow, request, answer.body());
        } catch (JsonProcessingException e) {
            return Verdict.wrong("no JSON, status " + answer.status() + ": " + e.getOriginalMessage());
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

    private static Verdict classifyEcho(PlannedRequest request, JsonNode answer) {
        boolean own = request.body().equals(answer.path("body").asText())
                && request.method().equals(answer.path("method").asText());
        return own ? Verdict.whole() : Verdict.wrong("not the echo of this call");
    }

    private static Verdict classifyObject(LoadFlow flow, PlannedRequest request, String body) throws JsonProcessingException {
        String text = MAPPER.readTree(body)
                .path("choices")
                .path(0)
                .path("message")
                .path("content")
                .asText();
        return classifyText(flow, request, text);
    }

    private static Verdict classifyEventStream(LoadFlow flow, PlannedRequest request, String body) throws JsonProcessingException {
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
        return done ? classifyText(flow, request, text.toString()) : Verdict.lost("no end mark");
    }

    private static Verdict classifyText(LoadFlow flow, PlannedRequest request, String text) {
        return AnswerText.isComplete(text, request.prompt(), flow.maxTokens())
                ? Verdict.whole()
                : Verdict.wrong("not the whole answer to this prompt");
    }
}
