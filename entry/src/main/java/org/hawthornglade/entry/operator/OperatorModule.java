package org.hawthornglade.entry.operator;

import com.google.inject.AbstractModule;
import com.google.inject.Provides;
import com.google.inject.Singleton;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicLong;
import org.apache.hc.client5.http.config.ConnectionConfig;
import org.apache.hc.client5.http.config.RequestConfig;
import org.apache.hc.client5.http.impl.classic.HttpClients;
import org.apache.hc.client5.http.impl.io.PoolingHttpClientConnectionManagerBuilder;
import org.apache.hc.core5.util.Timeout;
import org.hawthornglade.core.config.ConfigurationHolder;
import org.hawthornglade.core.event.Timeline;
import org.hawthornglade.core.id.InstanceId;
import org.hawthornglade.core.id.PlanId;
import org.hawthornglade.core.time.Clock;
import org.hawthornglade.entry.EntrySettings;
import org.hawthornglade.entry.control.AgentLinks;
import org.hawthornglade.entry.placement.AgentProbe;
import org.hawthornglade.entry.placement.Reconciler;
import org.hawthornglade.entry.placement.ReconcilerLoop;
import org.hawthornglade.node.auth.ClusterKeys;
import org.hawthornglade.ports.configuration.AssignmentStore;
import org.hawthornglade.ports.configuration.ConfigurationStore;
import org.hawthornglade.ports.configuration.PlanService;
import org.hawthornglade.ports.configuration.PlanStore;
import org.hawthornglade.ports.table.TableService;

/** Binds the classes of an entry's operator interface. */
public final class OperatorModule extends AbstractModule {
    private static final int PEER_CONNECT_TIMEOUT_MS = 500;
    private static final int PEER_RESPONSE_TIMEOUT_MS = 1_000;

    @Provides
    @Singleton
    InstanceId self(EntrySettings settings) {
        return InstanceId.of(settings.getInstanceId());
    }

    @Provides
    @Singleton
    FleetTracker fleet(InstanceId self, ConfigurationHolder holder) {
        return new FleetTracker(self, holder);
    }

    @Provides
    @Singleton
    OperatorTokens tokens(EntrySettings settings) {
        return new OperatorTokens(settings.getOperatorTokens(), settings.getCallerKeys());
    }

    @Provides
    @Singleton
    PlanStore plans(TableService table) {
        return new PlanStore(table);
    }

    @Provides
    @Singleton
    AssignmentStore assignments(TableService table) {
        return new AssignmentStore(table);
    }

    @Provides
    @Singleton
    PeerEntryClient peers() {
        return new PeerEntryClient(HttpClients.custom()
                .setConnectionManager(PoolingHttpClientConnectionManagerBuilder.create()
                        .setDefaultConnectionConfig(ConnectionConfig.custom()
                                .setConnectTimeout(Timeout.ofMilliseconds(PEER_CONNECT_TIMEOUT_MS))
                                .build())
                        .build())
                .setDefaultRequestConfig(RequestConfig.custom()
                        .setResponseTimeout(Timeout.ofMilliseconds(PEER_RESPONSE_TIMEOUT_MS))
                        .build())
                .disableAutomaticRetries()
                .disableCookieManagement()
                .build());
    }

    @Provides
    @Singleton
    TimelineCollector timelines(Timeline local, AgentLinks links, FleetTracker fleet, PeerEntryClient peers) {
        return new TimelineCollector(local, links, fleet, peers);
    }

    @Provides
    @Singleton
    StatusReader status(
            ConfigurationHolder holder,
            ConfigurationStore configurations,
            AssignmentStore assignments,
            PlanStore plans,
            FleetTracker fleet,
            PeerEntryClient peers) {
        return new StatusReader(holder, configurations, assignments, plans, fleet, peers);
    }

    @Provides
    @Singleton
    Explainer explainer(TimelineCollector timelines, ConfigurationHolder holder, FleetTracker fleet) {
        return new Explainer(timelines, holder, fleet);
    }

    @Provides
    @Singleton
    PlanService planService(
            ConfigurationStore configurations,
            PlanStore plans,
            AssignmentStore assignments,
            FleetTracker fleet,
            Timeline timeline,
            Clock clock) {
        String prefix = "plan-" + timeline.process() + "-" + Long.toString(timeline.bootId(), Character.MAX_RADIX);
        AtomicLong counter = new AtomicLong();
        return new PlanService(
                configurations,
                plans,
                assignments,
                fleet,
                () -> PlanId.of(prefix + "-" + counter.incrementAndGet()),
                clock);
    }

    @Provides
    @Singleton
    Reconciler reconciler(
            ConfigurationStore configurations,
            AssignmentStore assignments,
            ConfigurationHolder holder,
            FleetTracker fleet,
            ClusterKeys keys,
            Timeline timeline) {
        AgentProbe probe = new AgentProbe(fleet::listedInstances, timeline.process(), keys);
        return new Reconciler(configurations, assignments, holder, fleet::instances, probe, timeline);
    }

    @Provides
    @Singleton
    ReconcilerLoop reconcilerLoop(Reconciler reconciler, ConfigurationHolder holder) {
        ReconcilerLoop loop = new ReconcilerLoop(
                reconciler, waitMs -> waitMs / 2 + ThreadLocalRandom.current().nextLong(waitMs));
        holder.addListener(applied -> loop.schedulePass());
        return loop;
    }
}
