package org.hawthornglade.entry;

import com.codahale.metrics.health.HealthCheck;
import com.google.inject.Inject;
import org.hawthornglade.core.config.ConfigurationHolder;

/** Healthy once a configuration is in force. */
public final class ConfigurationHealth extends HealthCheck {
    private final ConfigurationHolder holder;

    /** Creates the check. */
    @Inject
    public ConfigurationHealth(ConfigurationHolder holder) {
        this.holder = holder;
    }

    @Override
    protected Result check() {
        long version = holder.current().version();
        return version > 0 ? Result.healthy("version %d", version) : Result.unhealthy("no configuration yet");
    }
}
