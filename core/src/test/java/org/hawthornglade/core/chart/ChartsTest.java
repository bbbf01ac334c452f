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
                .flatMap(chart -> chart.transitions().stream().map(edge -> Arguments.of(chart, edge)));
    }

    @ParameterizedTest
    @MethodSource("edges")
    <S extends Enum<S>, E extends Enum<E>> void everyEdgeIsWalked(StateChart<S, E> chart, Transition<S, E> edge) {
        ChartInstance<S, E> run = chart.startIn(edge.from());
        assertThat(run.accepts(edge.event())).isTrue();
        assertThat(run.fire(edge.event()).get()).isEqualTo(edge.to());
        assertThat(run.isTerminal()).isEqualTo(chart.terminal().contains(edge.to()));
    }

    @Test
    void thePageShowsTheFiles() throws Exception {
        assertThat(Files.readString(PAGE)).isEqualTo(MermaidWriter.page());
    }
}
