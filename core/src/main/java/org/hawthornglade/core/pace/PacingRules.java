package org.hawthornglade.core.pace;

/**
 * Which rules of pacing are enabled; each is used without the others too.
 *
 * @param concurrencyLimit whether the calls in flight at a server are limited by how it responds
 * @param expectedTime whether the choice of a server uses its service rate
 * @param sharedMemory whether the memory of engines is accounted for over all entries, as an engine crashes when it is
 *     full
 */
public record PacingRules(boolean concurrencyLimit, boolean expectedTime, boolean sharedMemory) {
    /** Nothing is enabled. */
    public static final PacingRules NONE = new PacingRules(false, false, false);
}
