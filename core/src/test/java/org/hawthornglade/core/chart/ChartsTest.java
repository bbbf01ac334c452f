package org.hawthornglade.core.chart;

import static com.google.common.truth.Truth.assertThat;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

final class ChartsTest {
    private static final Path PAGE = Path.of("..", "docs", "CHARTS.md");

    static Stream<Arguments> transitions() {
        return Charts.all().stream()
                .flatMap(chart -> chart.transitions().stream().map(transition -> Arguments.of(chart, transition)));
    }

    @ParameterizedTest
    @MethodSource("transitions")
    <S extends Enum<S>, E extends Enum<E>> void everyTransitionCanBeTaken(
            StateChart<S, E> chart, Transition<S, E> transition) {
        ChartInstance<S, E> instance = chart.startIn(transition.from());
        assertThat(instance.accepts(transition.event())).isTrue();
        assertThat(instance.fire(transition.event()).get()).isEqualTo(transition.to());
        assertThat(instance.isTerminal()).isEqualTo(chart.terminal().contains(transition.to()));
    }

    @Test
    void thePageMatchesTheChartFiles() throws Exception {
        assertThat(Files.readString(PAGE)).isEqualTo(MermaidWriter.page());
    }
}
