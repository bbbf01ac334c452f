package org.hawthornglade.core.chart;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.List;
import java.util.stream.Stream;
import org.hawthornglade.core.result.ResultCode;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

final class ChartLoaderTest {
    enum Light {
        RED,
        GREEN,
        BROKEN
    }

    enum Signal {
        TICK,
        FAIL
    }

    private static final ChartFile.Edge GO = new ChartFile.Edge("RED", "TICK", "GREEN");
    private static final ChartFile.Edge STOP = new ChartFile.Edge("GREEN", "TICK", "RED");
    private static final ChartFile.Edge FAIL = new ChartFile.Edge("RED", "FAIL", "BROKEN");
    private static final ChartFile.Ignored NO_FAIL = new ChartFile.Ignored("GREEN", List.of("FAIL"));

    static Stream<Arguments> invalidCharts() {
        return Stream.of(
                Arguments.of("two rules for RED/TICK", List.of(GO, GO, STOP, FAIL), List.of(NO_FAIL)),
                Arguments.of("no rule for FAIL in state GREEN", List.of(GO, STOP, FAIL), List.of()),
                Arguments.of("state BROKEN is unreachable", List.of(GO, STOP), List.of(NO_FAIL)),
                Arguments.of("event FAIL has no transition", List.of(GO, STOP), List.of(NO_FAIL)),
                Arguments.of(
                        "state GREEN is a dead end",
                        List.of(GO, FAIL),
                        List.of(new ChartFile.Ignored("GREEN", List.of("FAIL", "TICK")))),
                Arguments.of("no way from GREEN to a terminal state", List.of(GO, FAIL), List.of(NO_FAIL)),
                Arguments.of(
                        "terminal state BROKEN has a transition on TICK",
                        List.of(GO, STOP, FAIL, new ChartFile.Edge("BROKEN", "TICK", "RED")),
                        List.of(NO_FAIL)),
                Arguments.of(
                        "unknown state 'BLUE'",
                        List.of(GO, STOP, FAIL, new ChartFile.Edge("BLUE", "TICK", "RED")),
                        List.of(NO_FAIL)));
    }

    @ParameterizedTest
    @MethodSource("invalidCharts")
    void rejectsInvalidCharts(String error, List<ChartFile.Edge> transitions, List<ChartFile.Ignored> ignored) {
        ChartFile file = new ChartFile("light", "A light.", "RED", List.of("BROKEN"), transitions, ignored);
        ChartException e =
                assertThrows(ChartException.class, () -> ChartLoader.validate(file, Light.class, Signal.class));
        assertThat(e).hasMessageThat().contains(error);
    }

    @Test
    void rejectsAMissingFile() {
        assertThrows(ChartException.class, () -> ChartLoader.load("none.json", Light.class, Signal.class));
    }

    @Test
    void anEventWithoutEffectKeepsTheState() {
        ChartFile file =
                new ChartFile("light", "A light.", "RED", List.of("BROKEN"), List.of(GO, STOP, FAIL), List.of(NO_FAIL));
        ChartInstance<Light, Signal> instance =
                ChartLoader.validate(file, Light.class, Signal.class).start();
        assertThat(instance.fire(Signal.TICK).get()).isEqualTo(Light.GREEN);
        assertThat(instance.fire(Signal.FAIL).getLeft().code()).isEqualTo(ResultCode.INTERNAL_ERROR);
        assertThat(instance.state()).isEqualTo(Light.GREEN);
    }
}
