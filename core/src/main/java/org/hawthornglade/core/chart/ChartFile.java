package org.hawthornglade.core.chart;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;

/**
 * The content of a chart file before validation.
 *
 * @param name the chart's name
 * @param description what the chart describes, in one sentence
 * @param initial the first state
 * @param terminal the states without outgoing transitions
 * @param transitions the transitions
 * @param ignored the events that have no effect in a state
 */
record ChartFile(
        String name,
        String description,
        String initial,
        List<String> terminal,
        List<Edge> transitions,
        List<Ignored> ignored) {
    ChartFile {
        terminal = terminal == null ? List.of() : List.copyOf(terminal);
        transitions = transitions == null ? List.of() : List.copyOf(transitions);
        ignored = ignored == null ? List.of() : List.copyOf(ignored);
    }

    /** Reads a file's content; missing parts stay empty and are reported by the validation. */
    static ChartFile read(JsonNode json) {
        List<Edge> edges = new ArrayList<>();
        for (JsonNode edge : json.path("transitions")) {
            edges.add(new Edge(text(edge, "from"), text(edge, "on"), text(edge, "to")));
        }
        List<Ignored> ignored = new ArrayList<>();
        for (JsonNode entry : json.path("ignored")) {
            ignored.add(new Ignored(text(entry, "in"), texts(entry, "on")));
        }
        return new ChartFile(
                text(json, "name"),
                text(json, "about"),
                text(json, "initial"),
                texts(json, "terminal"),
                edges,
                ignored);
    }

    private static String text(JsonNode json, String field) {
        return json.path(field).asText(null);
    }

    private static List<String> texts(JsonNode json, String field) {
        List<String> texts = new ArrayList<>();
        json.path(field).forEach(entry -> texts.add(entry.asText()));
        return texts;
    }

    /** One transition. */
    record Edge(String from, String on, String to) {}

    /** The events that have no effect in a state. */
    record Ignored(String in, List<String> on) {
        Ignored {
            on = on == null ? List.of() : List.copyOf(on);
        }
    }
}
