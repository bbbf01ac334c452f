package org.hawthornglade.gateway;

/**
 * Which decisions under load are enabled beyond those that the answers of endpoints call for.
 *
 * @param adaptivePacing whether the concurrency of each endpoint is limited by how it answers
 * @param overloadAdmission whether calls are refused as soon as it is predicted that they cannot be served in time
 * @param enginesCrashWhenFull whether an engine crashes if its requests need more memory than it has
 */
public record LoadControlSettings(boolean adaptivePacing, boolean overloadAdmission, boolean enginesCrashWhenFull) {
    /** Nothing is enabled. */
    public static final LoadControlSettings NONE = new LoadControlSettings(false, false, false);
}
