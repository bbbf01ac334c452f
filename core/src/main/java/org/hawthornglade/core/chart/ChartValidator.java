package org.hawthornglade.core.chart;

import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.Set;

/** Finds what makes a chart unsound: unreachable states, missing transitions, dead ends, unused events. */
final class ChartValidator {
    private ChartValidator() {}

    static <S extends Enum<S>, E extends Enum<E>> List<String> errors(
            StateChart<S, E> chart, Class<S> states, Class<E> events, Set<String> ignored) {
        List<String> faults = new ArrayList<>();
        Set<S> reachable = chart.reachable();
        Set<S> ending = statesReachingTerminal(chart, states);
        for (S state : states.getEnumConstants()) {
            if (!reachable.contains(state)) {
                faults.add("state " + state + " is unreachable");
            }
            if (!chart.terminal().isEmpty() && !ending.contains(state)) {
                faults.add("no way from " + state + " to a terminal state");
            }
            faults.addAll(stateErrors(chart, state, events, ignored));
        }
        for (E event : events.getEnumConstants()) {
            if (chart.transitions().stream().noneMatch(edge -> edge.event() == event)) {
                faults.add("event " + event + " has no transition");
            }
        }
        return faults;
    }

    private static <S extends Enum<S>, E extends Enum<E>> List<String> stateErrors(
            StateChart<S, E> chart, S state, Class<E> events, Set<String> ignored) {
        List<String> faults = new ArrayList<>();
        boolean leaves = false;
        for (E event : events.getEnumConstants()) {
            boolean has = chart.target(state, event).isPresent();
            leaves |= has;
            if (chart.isTerminal(state) && has) {
                faults.add("terminal state " + state + " has a transition on " + event);
            }
            if (!chart.isTerminal(state) && !has && !ignored.contains(ChartLoader.transitionKey(state, event))) {
                faults.add("no rule for " + event + " in state " + state);
            }
        }
        if (!chart.isTerminal(state) && !leaves) {
            faults.add("state " + state + " is a dead end");
        }
        return faults;
    }

    /** Returns the states from which a terminal state can be reached. */
    private static <S extends Enum<S>, E extends Enum<E>> Set<S> statesReachingTerminal(
            StateChart<S, E> chart, Class<S> states) {
        Set<S> ending = EnumSet.noneOf(states);
        ending.addAll(chart.terminal());
        boolean grown = true;
        while (grown) {
            grown = false;
            for (Transition<S, E> edge : chart.transitions()) {
                if (ending.contains(edge.to())) {
                    grown |= ending.add(edge.from());
                }
            }
        }
        return ending;
    }
}
