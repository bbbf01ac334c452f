package org.hawthornglade.app.load;

import static com.google.common.truth.Truth.assertThat;

import java.net.URI;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Stream;
import org.hawthornglade.core.engine.EngineOrder;
import org.hawthornglade.core.id.ModelName;
import org.hawthornglade.standin.Standins;
import org.hawthornglade.standin.StandinsSettings;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

final class LoadRunnerTest {
    private static final int DURATION_MS = 300;

    private final Standins standins = Standins.start(StandinsSettings.parse("""
            {"servers": [
              {"kind": "engine", "name": "engine", "memoryMb": 1000, "betweenTokenMs": 1, "maxConcurrent": 1000},
              {"kind": "service", "name": "orders"}
            ]}
            """));

    @AfterEach
    void close() {
        standins.close();
    }

    private void load(String model) {
        standins.engine("engine")
                .order(new EngineOrder(EngineOrder.Kind.LOAD, ModelName.of(model), "v1", null, 0, 1))
                .get();
    }

    private static LoadReport run(LoadSettings settings) throws Exception {
        return new LoadRunner(settings, "run").run();
    }

    @Test
    void countsWholeAnswersAndRefusals() throws Exception {
        load("guide"); // The other model of the flow is not loaded.
        LoadReport report = run(TestFlows.settings(
                standins.uri("engine"), DURATION_MS, TestFlows.chat("s", 200, true), TestFlows.chat("o", 200, false)));

        for (FlowReport flow : report.flows()) {
            assertThat(flow.whole()).isGreaterThan(0);
            assertThat(flow.onTime()).isEqualTo(flow.whole());
            assertThat(flow.refusals().get(0)).isGreaterThan(0);
            assertThat(flow.whole() + flow.refusals().get(0)).isEqualTo(flow.sent());
        }
        assertThat(report.clean()).isTrue();
        assertThat(ReportTable.of(report)).contains("flow");
    }

    @Test
    void countsLostRequests() throws Exception {
        standins.closePort("engine");
        LoadReport report =
                run(TestFlows.settings(standins.uri("engine"), DURATION_MS, TestFlows.chat("s", 100, true)));

        assertThat(report.flows().get(0).lost()).isEqualTo(report.flows().get(0).sent());
        assertThat(report.flows().get(0).sent()).isGreaterThan(0);
        assertThat(report.clean()).isFalse();
    }

    @Test
    void comparesCallsWithExecutions() throws Exception {
        URI orders = standins.uri("orders");
        LoadReport report = run(new LoadSettings(
                List.of(orders),
                null,
                List.of(orders),
                7,
                0,
                DURATION_MS,
                0,
                List.of(TestFlows.service("orders", 100))));

        assertThat(report.flows().get(0).whole())
                .isEqualTo(report.flows().get(0).sent());
        assertThat(report.executions())
                .isEqualTo(new ExecutionReport(report.flows().get(0).sent(), 0, 0, 0));
        assertThat(report.clean()).isTrue();
    }

    static Stream<Arguments> executions() {
        return Stream.of(
                Arguments.of(Map.of("a", 1, "b", 1), Set.of("a"), Set.of("c"), new ExecutionReport(2, 0, 0, 0)),
                Arguments.of(Map.of("a", 2, "b", 3), Set.of(), Set.of(), new ExecutionReport(5, 2, 0, 0)),
                Arguments.of(Map.of("a", 1), Set.of(), Set.of("a"), new ExecutionReport(1, 0, 1, 0)),
                Arguments.of(Map.of(), Set.of("a"), Set.of(), new ExecutionReport(0, 0, 0, 1)));
    }

    @ParameterizedTest
    @MethodSource("executions")
    void findsRepeatedExecutionsAndUntrueRefusals(
            Map<String, Integer> runs, Set<String> answered, Set<String> notRun, ExecutionReport expected) {
        assertThat(ExecutionCheck.compare(runs, new KeyOutcomes(answered, notRun)))
                .isEqualTo(expected);
    }

    @ParameterizedTest
    @MethodSource("badSettings")
    void reportsEveryFaultOfTheSettings(String json, int faults) throws Exception {
        assertThat(LoadSettings.parse(json).faults()).hasSize(faults);
    }

    static Stream<Arguments> badSettings() {
        return Stream.of(
                Arguments.of("{}", 2),
                Arguments.of("{\"durationMs\": 5, \"flows\": [{}]}", 6),
                Arguments.of(
                        "{\"durationMs\": 5, \"direct\": \"http://127.0.0.1:1\", \"flows\": ["
                                + "{\"name\": \"a\", \"kind\": \"DIRECT_CHAT\", \"models\": [\"m\"],"
                                + " \"ratePerSecond\": 1, \"directFlow\": \"none\"}]}",
                        1));
    }
}
