package org.hawthornglade.ports.configuration;

import org.hawthornglade.core.config.Configuration;

/**
 * The result of a confirm that took effect.
 *
 * @param configuration the configuration that it created
 * @param repeated whether an earlier call had already created it
 */
public record Confirmation(Configuration configuration, boolean repeated) {}
