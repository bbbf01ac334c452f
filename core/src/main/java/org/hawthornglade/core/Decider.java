package org.hawthornglade.core;

import java.util.List;

/**
 * Decision logic without threads, sockets or clocks of its own.
 *
 * <p>The role that owns it converts I/O to events and executes the returned commands. Calls must not overlap.
 *
 * @param <E> the type of the events that it handles
 * @param <C> the type of the commands that it returns
 */
public interface Decider<E, C> {
    /**
     * Handles an event.
     *
     * @param event what happened
     * @param nowMs the current time in milliseconds; never lower than at an earlier call
     * @return the commands to execute, in order; empty if there is nothing to do
     */
    List<C> on(E event, long nowMs);
}
