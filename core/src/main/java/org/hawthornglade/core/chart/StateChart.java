package org.hawthornglade.core.chart;

import com.google.common.collect.ImmutableTable;
import com.google.common.collect.Table;
import java.util.EnumSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * A validated state chart: which event leads from which state to which.
 *
 * <p>Immutable. In each state that is not terminal every event either has a transition or is declared as ignored.
 *
 * @param <S> the states
 * @param <E> the events
 */
public final class StateChart<S extends Enum<S>, E extends Enum<E>> {
    private final String name;
    private final String description;
    private final S initial;
    private final Set<S> terminal;
    private final ImmutableTable<S, E, S> targets;
    private final List<Transition<S, E>> transitions;

    StateChart(String name, String description, S initial, Set<S> terminal, List<Transition<S, E>> transitions) {
        this.name = name;
        this.description = description;
        this.initial = initial;
        this.terminal = Set.copyOf(terminal);
        this.transitions = List.copyOf(transitions);
        ImmutableTable.Builder<S, E, S> builder = ImmutableTable.builder();
        transitions.forEach(transition -> builder.put(transition.from(), transition.event(), transition.to()));
        this.targets = builder.buildOrThrow();
    }

    public String name() {
        return name;
    }

    public String description() {
        return description;
    }

    public S initial() {
        return initial;
    }

    /** Returns whether a state has no outgoing transitions. */
    public boolean isTerminal(S state) {
        return terminal.contains(state);
    }

    public Set<S> terminal() {
        return terminal;
    }

    /** Returns the transitions in the order of the file. */
    public List<Transition<S, E>> transitions() {
        return transitions;
    }

    /** Returns the state to which an event leads from a state; empty if it has no effect there. */
    public Optional<S> target(S state, E event) {
        return Optional.ofNullable(targets.get(state, event));
    }

    /** Returns all transitions as a table of state, event and next state. */
    public Table<S, E, S> asTable() {
        return targets;
    }

    /** Creates an instance of the chart in its initial state. */
    public ChartInstance<S, E> start() {
        return new ChartInstance<>(this, initial);
    }

    /** Creates an instance of the chart in a given state. */
    public ChartInstance<S, E> startIn(S state) {
        return new ChartInstance<>(this, state);
    }

    /** Returns the states that can be reached from the initial one, itself included. */
    Set<S> reachable() {
        Set<S> reached = EnumSet.of(initial);
        boolean changed = true;
        while (changed) {
            changed = false;
            for (Transition<S, E> transition : transitions) {
                if (reached.contains(transition.from())) {
                    changed |= reached.add(transition.to());
                }
            }
        }
        return reached;
    }
}
