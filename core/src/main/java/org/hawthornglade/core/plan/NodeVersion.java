package org.hawthornglade.core.plan;

/**
 * The configuration version in force at one process.
 *
 * @param node the instance of the process
 * @param version the configuration version; -1 if the process did not answer
 */
public record NodeVersion(String node, long version) {}
