package org.hawthornglade.entry.operator;

/**
 * The state of one entry, as it reports it to other entries.
 *
 * @param instance the instance that the entry runs on
 * @param configVersion the configuration version in force there
 */
public record NodeInfo(String instance, long configVersion) {}
