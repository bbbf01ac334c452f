package org.hawthornglade.core.config;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;

/**
 * The configuration in force at one process, which only ever moves to a higher version.
 *
 * <p>Safe for use by several threads.
 */
public final class ConfigurationHolder {
    private final List<Consumer<Configuration>> listeners = new CopyOnWriteArrayList<>();
    private volatile Configuration current = Configuration.empty();

    /** Returns the configuration in force; the empty one before the first was applied. */
    public Configuration current() {
        return current;
    }

    /**
     * Applies a configuration if it is newer than the one in force.
     *
     * @return whether it was applied
     */
    public synchronized boolean offer(Configuration candidate) {
        if (candidate.version() <= current.version()) {
            return false;
        }
        current = candidate;
        listeners.forEach(listener -> listener.accept(candidate));
        return true;
    }

    /** Adds a listener that is called in order of version, within {@link #offer}, for each one that is applied. */
    public void addListener(Consumer<Configuration> listener) {
        listeners.add(listener);
    }
}
