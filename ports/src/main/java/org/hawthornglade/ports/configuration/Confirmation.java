package org.hawthornglade.ports.configuration;

import org.hawthornglade.core.config.Configuration;

/**
 * A confirm that took effect.
 *
 * @param configuration the configuration that it made
 * @param repeated whether an earlier call had already made it
 */
public record Confirmation(Configuration configuration, boolean repeated) {}
