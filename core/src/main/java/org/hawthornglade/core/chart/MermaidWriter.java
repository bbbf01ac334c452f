package org.hawthornglade.core.chart;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.stream.Collectors;

/** Renders the charts as a Markdown page with Mermaid diagrams. */
public final class MermaidWriter {
    private static final String HEAD = """
            # State charts

            Drawn from the files in `core/src/main/resources/org/hawthornglade/core/chart/`, which the code interprets.
            Write this page anew after a change with
            `java -cp app/target/hawthornglade.jar org.hawthornglade.core.chart.MermaidWriter docs/CHARTS.md`.
            An event that a state has no arrow for changes nothing there.
            """;

    private MermaidWriter() {}

    /** Writes the page to the file named by the only argument. */
    public static void main(String[] args) throws IOException {
        Files.writeString(Path.of(args[0]), page(), StandardCharsets.UTF_8);
    }

    /** Returns the whole page. */
    public static String page() {
        return Charts.all().stream().map(MermaidWriter::section).collect(Collectors.joining("", HEAD, ""));
    }

    private static <S extends Enum<S>, E extends Enum<E>> String section(StateChart<S, E> chart) {
        StringBuilder text = new StringBuilder();
        text.append("\n## ")
                .append(chart.name())
                .append("\n\n")
                .append(chart.description())
                .append("\n\n");
        text.append("```mermaid\nstateDiagram-v2\n");
        text.append("    [*] --> ").append(chart.initial()).append('\n');
        for (Transition<S, E> transition : chart.transitions()) {
            text.append("    %s --> %s: %s%n".formatted(transition.from(), transition.to(), transition.event()));
        }
        chart.terminal().stream()
                .sorted()
                .forEach(state -> text.append("    ").append(state).append(" --> [*]\n"));
        return text.append("```\n").toString();
    }
}
