package org.hawthornglade.node;

import com.google.inject.AbstractModule;
import com.google.inject.Provides;
import com.google.inject.Singleton;
import org.hawthornglade.core.event.Timeline;
import org.hawthornglade.core.time.Clock;
import org.hawthornglade.node.auth.ClusterKeys;
import org.hawthornglade.node.log.TimelineLog;
import org.hawthornglade.node.metrics.EventMetrics;
import org.hawthornglade.node.metrics.Metrics;
import org.hawthornglade.node.metrics.RequestMetrics;
import org.hawthornglade.node.settings.NodeSettings;
import org.hawthornglade.ports.http.PlatformHttpClient;
import org.hawthornglade.ports.http.PlatformHttpSettings;
import org.hawthornglade.ports.table.HttpTableService;
import org.hawthornglade.ports.table.TableService;

/** Binds the services that the entry and agent roles have in common. */
public final class NodeModule extends AbstractModule {
    private static final int POOL_TIMEOUT_MS = 1_000;

    private final NodeSettings settings;
    private final int platformConnections;

    /**
     * Creates a module.
     *
     * @param settings the settings of the role
     * @param platformConnections the maximum number of open connections to one platform service
     */
    public NodeModule(NodeSettings settings, int platformConnections) {
        this.settings = settings;
        this.platformConnections = platformConnections;
    }

    @Provides
    @Singleton
    Clock clock() {
        return Clock.system();
    }

    @Provides
    @Singleton
    Metrics metrics() {
        return new Metrics();
    }

    @Provides
    @Singleton
    Timeline timeline(Clock clock, Metrics metrics) {
        return new Timeline(
                settings.getProcessName(),
                settings.getTimelineCapacity(),
                clock,
                new TimelineLog()
                        .andThen(new EventMetrics(metrics.registry()))
                        .andThen(new RequestMetrics(metrics.registry())));
    }

    @Provides
    @Singleton
    ClusterKeys keys() {
        return new ClusterKeys(settings.getClusterKeys());
    }

    @Provides
    @Singleton
    PlatformHttpClient http() {
        return new PlatformHttpClient(new PlatformHttpSettings(
                settings.getPlatform().getConnectTimeoutMs(),
                settings.getPlatform().getResponseTimeoutMs(),
                POOL_TIMEOUT_MS,
                platformConnections));
    }

    @Provides
    @Singleton
    TableService table(PlatformHttpClient http) {
        return new HttpTableService(settings.getPlatform().getTableServiceUri(), http);
    }
}
