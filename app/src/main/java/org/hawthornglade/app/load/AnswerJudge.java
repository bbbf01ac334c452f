package org.hawthornglade.app.load;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import org.hawthornglade.core.result.Execution;
import org.hawthornglade.core.result.ResultCode;
import org.hawthornglade.standin.engine.AnswerText;

/** Tells whether an answer is whole and to its own request; it knows the answers of the stand-ins. */
final class AnswerJudge {
    private static final JsonMapper MAPPER = JsonMapper.builder().build();
    private static final String DATA = "data: ";
    private static final String DONE = "[DONE]";
    private static final int OK = 200;

    private AnswerJudge() {}

    static Verdict judge(LoadFlow flow, PlannedRequest request, CollectedAnswer answer) {
        if (answer.failure() != null) {
            return Verdict.lost(answer.failure());
        }
        try {
            if (answer.status() != OK) {
                return refusal(MAPPER.readTree(answer.body()).path("error"), answer.status());
            }
            if (flow.kind() == FlowKind.SERVICE) {
                return echo(request, MAPPER.readTree(answer.body()));
            }
            return flow.stream() ? events(flow, request, answer.body()) : object(flow, request, answer.body());
        } catch (JsonProcessingException e) {
            return Verdict.wrong("no JSON, status " + answer.status() + ": " + e.getOriginalMessage());
        }
    }

    private static Verdict refusal(JsonNode error, int status) {
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

    private static Verdict echo(PlannedRequest request, JsonNode answer) {
        boolean own = request.body().equals(answer.path("body").asText())
                && request.method().equals(answer.path("method").asText());
        return own ? Verdict.whole() : Verdict.wrong("not the echo of this call");
    }

    private static Verdict object(LoadFlow flow, PlannedRequest request, String body) throws JsonProcessingException {
        String text = MAPPER.readTree(body)
                .path("choices")
                .path(0)
                .path("message")
                .path("content")
                .asText();
        return text(flow, request, text);
    }

    private static Verdict events(LoadFlow flow, PlannedRequest request, String body) throws JsonProcessingException {
        StringBuilder text = new StringBuilder();
        boolean done = false;
        for (String line : body.split("\n", -1)) {
            if (!line.startsWith(DATA)) {
                continue;
            }
            String data = line.substring(DATA.length()).trim();
            if (DONE.equals(data)) {
                done = true;
                continue;
            }
            JsonNode event = MAPPER.readTree(data);
            if (event.has("error")) {
                return refusal(event.path("error"), OK);
            }
            text.append(
                    event.path("choices").path(0).path("delta").path("content").asText(""));
        }
        return done ? text(flow, request, text.toString()) : Verdict.lost("no end mark");
    }

    private static Verdict text(LoadFlow flow, PlannedRequest request, String text) {
        return AnswerText.isWhole(text, request.prompt(), flow.maxTokens())
                ? Verdict.whole()
                : Verdict.wrong("not the whole answer to this prompt");
    }
}
