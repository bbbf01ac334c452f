package org.hawthornglade.core.chart;

/**
 * One edge of a chart.
 *
 * @param <S> the states
 * @param <E> the events
 * @param from the state before
 * @param event what happens
 * @param to the state after
 */
public record Transition<S extends Enum<S>, E extends Enum<E>>(S from, E event, S to) {}
