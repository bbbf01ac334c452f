package org.hawthornglade.core.chart;

import com.fasterxml.jackson.core.json.JsonReadFeature;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import java.io.InputStream;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/** Reads chart files, which are JSON with comments, and rejects invalid ones. */
public final class ChartLoader {
    private static final JsonMapper MAPPER =
            JsonMapper.builder().enable(JsonReadFeature.ALLOW_JAVA_COMMENTS).build();

    private ChartLoader() {}

    /**
     * Reads a chart from a resource in the package of this class.
     *
     * @param resource the file's name, such as {@code replica.json}
     * @param states the enum of the states
     * @param events the enum of the events
     * @throws ChartException with all errors if the file is missing or invalid
     */
    public static <S extends Enum<S>, E extends Enum<E>> StateChart<S, E> load(
            String resource, Class<S> states, Class<E> events) {
        try (InputStream in = ChartLoader.class.getResourceAsStream(resource)) {
            if (in == null) {
                throw new ChartException(resource, List.of("no such resource"));
            }
            return validate(ChartFile.read(MAPPER.readTree(in)), states, events);
        } catch (IOException e) {
            throw new ChartException(resource, List.of(e.getMessage()));
        }
    }

    /** Creates a chart from a file's content; throws a ChartException with all errors. */
    static <S extends Enum<S>, E extends Enum<E>> StateChart<S, E> validate(
            ChartFile file, Class<S> states, Class<E> events) {
        List<String> errors = new ArrayList<>();
        Optional<S> initial = parseConstant(states, file.initial(), "initial state", errors);
        Set<S> terminal = EnumSet.noneOf(states);
        file.terminal()
                .forEach(text ->
                        parseConstant(states, text, "terminal state", errors).ifPresent(terminal::add));
        List<Transition<S, E>> edges = edges(file, states, events, errors);
        Set<String> ignored = ignored(file, states, events, errors);
        if (!errors.isEmpty()) {
            throw new ChartException(file.name(), errors);
        }
        errors.addAll(duplicates(edges, ignored));
        if (!errors.isEmpty()) {
            throw new ChartException(file.name(), errors);
        }
        StateChart<S, E> chart =
                new StateChart<>(file.name(), file.description(), initial.orElseThrow(), terminal, edges);
        errors.addAll(ChartValidator.errors(chart, states, events, ignored));
        if (!errors.isEmpty()) {
            throw new ChartException(file.name(), errors);
        }
        return chart;
    }

    private static <S extends Enum<S>, E extends Enum<E>> List<Transition<S, E>> edges(
            ChartFile file, Class<S> states, Class<E> events, List<String> errors) {
        List<Transition<S, E>> edges = new ArrayList<>();
        for (ChartFile.Edge edge : file.transitions()) {
            Optional<S> from = parseConstant(states, edge.from(), "state", errors);
            Optional<E> on = parseConstant(events, edge.on(), "event", errors);
            Optional<S> to = parseConstant(states, edge.to(), "state", errors);
            if (from.isPresent() && on.isPresent() && to.isPresent()) {
                edges.add(new Transition<>(from.get(), on.get(), to.get()));
            }
        }
        return edges;
    }

    private static <S extends Enum<S>, E extends Enum<E>> Set<String> ignored(
            ChartFile file, Class<S> states, Class<E> events, List<String> errors) {
        Set<String> ignored = new HashSet<>();
        for (ChartFile.Ignored entry : file.ignored()) {
            Optional<S> state = parseConstant(states, entry.in(), "state", errors);
            for (String text : entry.on()) {
                Optional<E> event = parseConstant(events, text, "event", errors);
                if (state.isPresent() && event.isPresent() && !ignored.add(transitionKey(state.get(), event.get()))) {
                    errors.add("ignores " + transitionKey(state.get(), event.get()) + " twice");
                }
            }
        }
        return ignored;
    }

    private static <S extends Enum<S>, E extends Enum<E>> List<String> duplicates(
            List<Transition<S, E>> edges, Set<String> ignored) {
        List<String> errors = new ArrayList<>();
        Set<String> seen = new HashSet<>(ignored);
        for (Transition<S, E> edge : edges) {
            if (!seen.add(transitionKey(edge.from(), edge.event()))) {
                errors.add("two rules for " + transitionKey(edge.from(), edge.event()));
            }
        }
        return errors;
    }

    private static <T extends Enum<T>> Optional<T> parseConstant(
            Class<T> type, String text, String what, List<String> errors) {
        for (T constant : type.getEnumConstants()) {
            if (constant.name().equals(text)) {
                return Optional.of(constant);
            }
        }
        errors.add("unknown " + what + " '" + text + "'");
        return Optional.empty();
    }

    static String transitionKey(Enum<?> state, Enum<?> event) {
        return state + "/" + event;
    }
}
