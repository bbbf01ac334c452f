package org.hawthornglade.core.chart;

/**
 * One transition of a chart.
 *
 * @param <S> the states
 * @param <E> the events
 * @param from the state before
 * @param event the event that triggers it
 * @param to the state after
 */
public record Transition<S extends Enum<S>, E extends Enum<E>>(S from, E event, S to) {}
