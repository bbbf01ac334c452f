package org.hawthornglade.standin.engine;

import static com.google.common.truth.Truth.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.stream.IntStream;
import org.hawthornglade.core.engine.EngineOrder;
import org.hawthornglade.core.id.ModelName;
import org.hawthornglade.core.result.ResultCode;
import org.hawthornglade.standin.fault.FaultInjector;
import org.hawthornglade.standin.fault.FaultScript;
import org.hawthornglade.standin.fault.FaultScriptBuilder;
import org.hawthornglade.standin.time.ManualTimers;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

final class InferenceTest {
    private static final ModelName GUIDE = ModelName.of("guide");
    private static final int FIRST_TOKEN_MS = 200;
    private static final int BETWEEN_TOKEN_MS = 30;
    private static final int NATURAL_TOKENS = 10;
    private static final int MAX_CONCURRENT = 2;
    private static final int ALL = 1 << 20;

    private final ManualTimers timers = new ManualTimers(1);
    private final FaultInjector faults = new FaultInjector(null);
    private final InMemoryEngine engine = new InMemoryEngine(settings(), faults, timers, null, new ReplicaCounter());

    private static EngineSettings settings() {
        return new EngineSettings(
                "it",
                0,
                1_000,
                false,
                null,
                0,
                0,
                0,
                0,
                0,
                0,
                0,
                FIRST_TOKEN_MS,
                BETWEEN_TOKEN_MS,
                MAX_CONCURRENT,
                NATURAL_TOKENS,
                List.of(),
                null);
    }

    @BeforeEach
    void load() {
        engine.order(new EngineOrder(EngineOrder.Kind.LOAD, GUIDE, "v1", null, 0, 1))
                .get();
        timers.advance(1);
    }

    private Generation start(String id, int maxTokens) {
        InferenceRequest request = new InferenceRequest(GUIDE, "prompt of " + id, maxTokens, true, true);
        return engine.inference().start(id, request).get();
    }

    private static String bytes(Generation generation) {
        return new String(generation.read(0, ALL), StandardCharsets.UTF_8);
    }

    private static long tokens(Generation generation) {
        return bytes(generation)
                .lines()
                .filter(line -> line.contains("\"content\""))
                .count();
    }

    @ParameterizedTest
    @CsvSource({"0, 10, stop", "1, 1, length", "9, 9, length", "50, 10, stop"})
    void producesTheRequestedTokensAtTheConfiguredRate(int maxTokens, int expected, String finish) {
        Generation generation = start("a", maxTokens);

        timers.advance(FIRST_TOKEN_MS - 1);
        assertThat(tokens(generation)).isEqualTo(0);
        timers.advance(1);
        assertThat(tokens(generation)).isEqualTo(1);
        timers.advance((long) BETWEEN_TOKEN_MS * (expected - 1));
        assertThat(tokens(generation)).isEqualTo(expected);
        assertThat(generation.ended()).isTrue();
        assertThat(bytes(generation)).contains("\"finish_reason\":\"" + finish + "\"");
        assertThat(bytes(generation)).endsWith("data: [DONE]\n\n");
    }

    @Test
    void requestsBeyondTheConcurrencyLimitWaitInOrder() {
        List<Generation> all =
                IntStream.range(0, 5).mapToObj(i -> start("r" + i, 1)).toList();

        timers.advance(FIRST_TOKEN_MS);
        assertThat(all.stream().map(Generation::ended))
                .containsExactly(true, true, false, false, false)
                .inOrder();
        engine.inference().cancel("r2");
        timers.advance(FIRST_TOKEN_MS);
        assertThat(all.stream().map(Generation::ended)).doesNotContain(false);
        assertThat(engine.state().models().get(0).running()).isEqualTo(0);
    }

    @Test
    void aCancelledAnswerStopsWithoutAnEndMarker() {
        Generation generation = start("a", 5);
        timers.advance(FIRST_TOKEN_MS);
        engine.cancel("a").get();
        timers.advance(10_000);

        assertThat(generation.ended()).isTrue();
        assertThat(tokens(generation)).isEqualTo(1);
        assertThat(bytes(generation)).doesNotContain("[DONE]");
    }

    @Test
    void aStalledAnswerResumes() {
        Generation generation = start("a", 3);
        timers.advance(FIRST_TOKEN_MS);
        faults.set(new FaultScriptBuilder().stallStreams().build());
        timers.advance(60_000);
        assertThat(tokens(generation)).isEqualTo(1);

        faults.set(FaultScript.NONE);
        timers.advance(1_000);
        assertThat(generation.ended()).isTrue();
        assertThat(tokens(generation)).isEqualTo(3);
    }

    @Test
    void aRestartDropsRequestsAndReusesTheirIds() {
        InferenceRequest request = new InferenceRequest(GUIDE, "x", 1, true, true);
        Generation before = engine.inference().start(null, request).get();
        engine.restart();
        assertThat(before.ended()).isTrue();
        assertThat(engine.inference().find(before.id())).isEmpty();

        load();
        Generation after = engine.inference().start(null, request).get();
        assertThat(after.id()).isEqualTo(before.id());
        timers.advance(FIRST_TOKEN_MS);
        assertThat(tokens(before)).isEqualTo(0);
        assertThat(tokens(after)).isEqualTo(1);
    }

    @Test
    void aDuplicateRequestIdIsRefused() {
        start("a", 1);
        InferenceRequest request = new InferenceRequest(GUIDE, "x", 1, true, true);

        assertThat(engine.inference().start("a", request).getLeft().code()).isEqualTo(ResultCode.DUPLICATE_ATTEMPT);
        assertThat(engine.state().models().get(0).running()).isEqualTo(1);
    }

    @ParameterizedTest
    @CsvSource({
        "0:PROMPT:1 1:PROMPT:1 2:PROMPT:1, true",
        "0:PROMPT:1 1:PROMPT:1, false",
        "0:PROMPT:1 2:PROMPT:1 1:PROMPT:1, false",
        "0:PROMPT:1 1:PROMPT:2 2:PROMPT:1, false",
        "0:PROMPT:1 1:00000000:1 2:PROMPT:1, false",
        "0:PROMPT:1 1:PROMPT:1 1:PROMPT:1, false",
        "'', false"
    })
    void recognisesACompleteAnswer(String text, boolean complete) {
        assertThat(AnswerText.promptChecksum("c")).isEqualTo("6b9df6f");
        String expanded = text.replace("PROMPT", AnswerText.promptChecksum("c"));

        assertThat(AnswerText.isComplete(expanded, "c", 3)).isEqualTo(complete);
    }
}
