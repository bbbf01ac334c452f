package org.hawthornglade.entry;

import com.codahale.metrics.health.HealthCheck;
import com.google.inject.Inject;
import org.hawthornglade.core.config.ConfigurationHolder;

/** Reports the process as healthy while a configuration is in force and the process is not stopping. */
public final class ConfigurationHealth extends HealthCheck {
    private final ConfigurationHolder holder;
    private final StopState stop;

    /** Creates the check. */
    @Inject
    public ConfigurationHealth(ConfigurationHolder holder, StopState stop) {
        this.holder = holder;
        this.stop = stop;
    }

    @Override
    protected Result check() {
        if (stop.isStopping()) {
            return Result.unhealthy("stopping");
        }
        long version = holder.current().version();
        return version > 0 ? Result.healthy("version %d", version) : Result.unhealthy("no configuration yet");
    }
}
