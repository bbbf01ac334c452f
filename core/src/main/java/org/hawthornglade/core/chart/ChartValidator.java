package org.hawthornglade.core.chart;

import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.Set;

/** Finds the errors of a chart: unreachable states, missing transitions, dead ends, unused events. */
final class ChartValidator {
    private ChartValidator() {}

    static <S extends Enum<S>, E extends Enum<E>> List<String> errors(
            StateChart<S, E> chart, Class<S> states, Class<E> events, Set<String> ignored) {
        List<String> errors = new ArrayList<>();
        Set<S> reachable = chart.reachable();
        Set<S> reachingTerminal = statesReachingTerminal(chart, states);
        for (S state : states.getEnumConstants()) {
            if (!reachable.contains(state)) {
                errors.add("state " + state + " is unreachable");
            }
            if (!chart.terminal().isEmpty() && !reachingTerminal.contains(state)) {
                errors.add("no way from " + state + " to a terminal state");
            }
            errors.addAll(stateErrors(chart, state, events, ignored));
        }
        for (E event : events.getEnumConstants()) {
            if (chart.transitions().stream().noneMatch(transition -> transition.event() == event)) {
                errors.add("event " + event + " has no transition");
            }
        }
        return errors;
    }

    private static <S extends Enum<S>, E extends Enum<E>> List<String> stateErrors(
            StateChart<S, E> chart, S state, Class<E> events, Set<String> ignored) {
        List<String> errors = new ArrayList<>();
        boolean hasExit = false;
        for (E event : events.getEnumConstants()) {
            boolean hasTransition = chart.target(state, event).isPresent();
            hasExit |= hasTransition;
            if (chart.isTerminal(state) && hasTransition) {
                errors.add("terminal state " + state + " has a transition on " + event);
            }
            if (!chart.isTerminal(state)
                    && !hasTransition
                    && !ignored.contains(ChartLoader.transitionKey(state, event))) {
                errors.add("no rule for " + event + " in state " + state);
            }
        }
        if (!chart.isTerminal(state) && !hasExit) {
            errors.add("state " + state + " is a dead end");
        }
        return errors;
    }

    /** Returns the states from which a terminal state can be reached. */
    private static <S extends Enum<S>, E extends Enum<E>> Set<S> statesReachingTerminal(
            StateChart<S, E> chart, Class<S> states) {
        Set<S> reachingTerminal = EnumSet.noneOf(states);
        reachingTerminal.addAll(chart.terminal());
        boolean changed = true;
        while (changed) {
            changed = false;
            for (Transition<S, E> transition : chart.transitions()) {
                if (reachingTerminal.contains(transition.to())) {
                    changed |= reachingTerminal.add(transition.from());
                }
            }
        }
        return reachingTerminal;
    }
}
