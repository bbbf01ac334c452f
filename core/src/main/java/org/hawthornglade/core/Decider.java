package org.hawthornglade.core;

import java.util.List;

/**
 * A decision maker without threads, sockets or clocks of its own.
 *
 * <p>The role that owns it turns I/O into events and the returned commands into I/O. Calls must not overlap.
 *
 * @param <E> the events it takes
 * @param <C> the commands it gives
 */
public interface Decider<E, C> {
    /**
     * Takes one event.
     *
     * @param event what happened
     * @param nowMs the time now in milliseconds; never lower than at an earlier call
     * @return the commands to carry out, in order; empty if nothing is to be done
     */
    List<C> on(E event, long nowMs);
}
