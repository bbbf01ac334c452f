package org.hawthornglade.app.load;

import static com.google.common.truth.Truth.assertThat;

import java.util.stream.Stream;
import org.hawthornglade.standin.engine.AnswerText;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

final class ResponseClassifierTest {
    private static final LoadFlow STREAM = TestFlows.chat("stream", 1, true);
    private static final LoadFlow OBJECT = TestFlows.chat("object", 1, false);
    private static final LoadFlow SERVICE = TestFlows.service("service", 1);
    private static final String END_EVENT = "data: [DONE]\n\n";

    private static PlannedRequest request(LoadFlow flow) {
        LoadSettings settings = TestFlows.settings(TestFlows.UNREACHABLE, 1, flow);
        return new RequestPlanner(settings, "run").plan(new Arrival(0, 0, 0, 0, true));
    }

    private static String token(int index, long run) {
        return AnswerText.token(index, request(STREAM).prompt(), run);
    }

    private static String event(String content) {
        return "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"" + content + "\"}}]}\n\n";
    }

    private static String object(String content) {
        return "{\"choices\":[{\"message\":{\"content\":\"" + content + "\"}}]}";
    }

    private static String error(int code) {
        return "{\"error\":{\"message\":\"no\",\"code\":" + code + "}}";
    }

    private static String completeText(LoadFlow flow, long run) {
        String prompt = request(flow).prompt();
        return AnswerText.token(0, prompt, run) + AnswerText.token(1, prompt, run) + AnswerText.token(2, prompt, run);
    }

    static Stream<Arguments> responses() {
        String echo = "{\"method\":\"POST\",\"body\":\"{\\\"request\\\":\\\"run-service-0\\\"}\"}";
        return Stream.of(
                Arguments.of(
                        "complete stream",
                        STREAM,
                        200,
                        event(completeText(STREAM, 1)) + END_EVENT,
                        null,
                        Verdict.Kind.WHOLE),
                Arguments.of("no end marker", STREAM, 200, event(completeText(STREAM, 1)), null, Verdict.Kind.LOST),
                Arguments.of("broken stream", STREAM, 200, event(token(0, 1)), "reset", Verdict.Kind.LOST),
                Arguments.of("missing token", STREAM, 200, event(token(0, 1)) + END_EVENT, null, Verdict.Kind.WRONG),
                Arguments.of(
                        "spliced from two runs",
                        STREAM,
                        200,
                        event(token(0, 1)) + event(token(1, 2)) + event(token(2, 2)) + END_EVENT,
                        null,
                        Verdict.Kind.WRONG),
                Arguments.of(
                        "response to another prompt",
                        STREAM,
                        200,
                        event(completeText(OBJECT, 1)) + END_EVENT,
                        null,
                        Verdict.Kind.WRONG),
                Arguments.of("error in the stream", STREAM, 200, "data: " + error(3002), null, Verdict.Kind.REFUSED),
                Arguments.of("complete object", OBJECT, 200, object(completeText(OBJECT, 1)), null, Verdict.Kind.WHOLE),
                Arguments.of(
                        "object for another prompt",
                        OBJECT,
                        200,
                        object(completeText(STREAM, 1)),
                        null,
                        Verdict.Kind.WRONG),
                Arguments.of("not JSON", OBJECT, 200, "<html>", null, Verdict.Kind.WRONG),
                Arguments.of("rejected", OBJECT, 503, error(2001), null, Verdict.Kind.REFUSED),
                Arguments.of("echo of the request", SERVICE, 200, echo, null, Verdict.Kind.WHOLE),
                Arguments.of(
                        "echo of another request", SERVICE, 200, echo.replace("-0", "-1"), null, Verdict.Kind.WRONG));
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("responses")
    void classifies(String name, LoadFlow flow, int status, String body, String failure, Verdict.Kind expected) {
        CollectedResponse response = new CollectedResponse(status, body, 1, 2, failure);

        assertThat(ResponseClassifier.classify(flow, request(flow), response).kind())
                .isEqualTo(expected);
    }

    static Stream<Arguments> codes() {
        return Stream.of(Arguments.of(2001, true), Arguments.of(3001, false), Arguments.of(0, false));
    }

    @ParameterizedTest
    @MethodSource("codes")
    void derivesNotRunFromTheResultCode(int code, boolean notRun) {
        Verdict verdict = ResponseClassifier.classify(
                SERVICE, request(SERVICE), new CollectedResponse(503, error(code), 1, 2, null));

        assertThat(verdict.code()).isEqualTo(code);
        assertThat(verdict.reportedNotRun()).isEqualTo(notRun);
    }
}
