package org.hawthornglade.core.chart;

import java.util.List;

/**
 * The content of a chart file, before it is checked.
 *
 * @param name the chart's name
 * @param about what it is the chart of, in one sentence
 * @param initial the first state
 * @param terminal the states that nothing leaves
 * @param transitions the edges
 * @param ignored the events that change nothing in a state
 */
record ChartFile(
        String name,
        String about,
        String initial,
        List<String> terminal,
        List<Edge> transitions,
        List<Ignored> ignored) {
    ChartFile {
        terminal = terminal == null ? List.of() : List.copyOf(terminal);
        transitions = transitions == null ? List.of() : List.copyOf(transitions);
        ignored = ignored == null ? List.of() : List.copyOf(ignored);
    }

    /** One edge. */
    record Edge(String from, String on, String to) {}

    /** Events without effect in a state. */
    record Ignored(String in, List<String> on) {
        Ignored {
            on = on == null ? List.of() : List.copyOf(on);
        }
    }
}
