package org.hawthornglade.core.serving;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;

/**
 * Decides which of the configurations that were read from the store is in force.
 *
 * <p>A store that was restored shows older configurations again, which change nothing: what was confirmed once stays in
 * force. If the operator then gives the same version to another content, the one that was written later replaces the
 * earlier one, which is not taken again.
 */
public final class ConfigurationInForce {
    /** The most contents of one version that are remembered as replaced. */
    private static final int MAX_REPLACED = 16;

    private final Deque<ServingConfiguration> replaced = new ArrayDeque<>();
    private Optional<ServingConfiguration> current = Optional.empty();

    /** Returns the configuration in force, if one was read. */
    public Optional<ServingConfiguration> current() {
        return current;
    }

    /**
     * Handles a configuration that was read.
     *
     * @return whether it is in force from now on, and was not before
     */
    public boolean onRead(ServingConfiguration read) {
        if (current.isEmpty() || read.version() > current.get().version()) {
            replaced.clear();
            current = Optional.of(read);
            return true;
        }
        boolean older = read.version() < current.get().version();
        if (older || read.sameContent(current.get()) || replaced.stream().anyMatch(read::sameContent)) {
            return false;
        }
        replaced.addLast(current.get());
        if (replaced.size() > MAX_REPLACED) {
            replaced.removeFirst();
        }
        current = Optional.of(read);
        return true;
    }
}
