package org.hawthornglade.entry.operator;

/**
 * What one entry says of itself to another.
 *
 * @param instance its instance
 * @param configVersion the configuration version in force there
 */
public record NodeInfo(String instance, long configVersion) {}
