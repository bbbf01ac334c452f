package org.hawthornglade.gateway;

import org.hawthornglade.core.pace.PacingRules;

/**
 * Which decisions under load are enabled beyond those that the answers of endpoints call for.
 *
 * @param concurrencyLimit whether the calls in flight at each endpoint are limited by how it responds
 * @param expectedTimeChoice whether the choice of an endpoint uses its service rate
 * @param overloadAdmission whether calls are refused as soon as it is predicted that they cannot be served in time
 * @param diskCopies whether models are fetched to engines' disks before calls wait for them
 * @param enginesCrashWhenFull whether an engine crashes if its requests need more memory than it has
 */
public record LoadControlSettings(
        boolean concurrencyLimit,
        boolean expectedTimeChoice,
        boolean overloadAdmission,
        boolean diskCopies,
        boolean enginesCrashWhenFull) {
    /** Nothing is enabled. */
    public static final LoadControlSettings NONE = new LoadControlSettings(false, false, false, false, false);

    /** Returns which rules of pacing are enabled. */
    public PacingRules pacingRules() {
        return new PacingRules(concurrencyLimit, expectedTimeChoice, enginesCrashWhenFull);
    }
}
