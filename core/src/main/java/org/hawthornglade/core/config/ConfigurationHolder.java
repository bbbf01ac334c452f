package org.hawthornglade.core.config;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;

/**
 * Holds the configuration in force at one process, whose version only increases.
 *
 * <p>This class is thread-safe.
 */
public final class ConfigurationHolder {
    private final List<Consumer<Configuration>> listeners = new CopyOnWriteArrayList<>();
    private volatile Configuration current = Configuration.empty();

    /** Returns the configuration in force, or the empty one before the first was applied. */
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

    /** Adds a listener that {@link #offer} calls for each applied configuration, in order of version. */
    public void addListener(Consumer<Configuration> listener) {
        listeners.add(listener);
    }
}
