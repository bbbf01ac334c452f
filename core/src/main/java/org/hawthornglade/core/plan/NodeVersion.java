package org.hawthornglade.core.plan;

/**
 * The configuration version in force at one process.
 *
 * @param node the process's instance
 * @param version the version; -1 if it could not be asked
 */
public record NodeVersion(String node, long version) {}
