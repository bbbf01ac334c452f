package org.hawthornglade.agent;

import com.google.inject.AbstractModule;
import com.google.inject.Provides;
import com.google.inject.Singleton;
import java.util.SplittableRandom;
import java.util.UUID;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import org.apache.hc.client5.http.config.ConnectionConfig;
import org.apache.hc.client5.http.impl.classic.CloseableHttpClient;
import org.hawthornglade.agent.assignment.FenceStore;
import org.hawthornglade.agent.assignment.TableWatcher;
import org.hawthornglade.agent.attempt.AnswerTimeouts;
import org.hawthornglade.agent.attempt.AttemptRegistry;
import org.hawthornglade.agent.attempt.AttemptsResource;
import org.hawthornglade.agent.attempt.EndpointClient;
import org.hawthornglade.agent.control.ControlContext;
import org.hawthornglade.agent.control.ViewPublisher;
import org.hawthornglade.agent.endpoint.EndpointPoller;
import org.hawthornglade.agent.endpoint.EnginePoller;
import org.hawthornglade.agent.endpoint.ServicePoller;
import org.hawthornglade.core.agent.AgentDecider;
import org.hawthornglade.core.agent.AgentEvent;
import org.hawthornglade.core.agent.AgentIdentity;
import org.hawthornglade.core.agent.AgentLimits;
import org.hawthornglade.core.agent.AgentPolicies;
import org.hawthornglade.core.config.Configuration;
import org.hawthornglade.core.config.ConfigurationHolder;
import org.hawthornglade.core.event.Timeline;
import org.hawthornglade.core.id.FailureDomain;
import org.hawthornglade.core.id.InstanceId;
import org.hawthornglade.core.idle.FixedKeepAlive;
import org.hawthornglade.core.idle.HistogramIdlePolicy;
import org.hawthornglade.core.idle.IdlePolicy;
import org.hawthornglade.core.time.Clock;
import org.hawthornglade.node.NodeModule;
import org.hawthornglade.node.auth.ClusterKeys;
import org.hawthornglade.node.http.DataPathClients;
import org.hawthornglade.node.loop.EventQueue;
import org.hawthornglade.ports.configuration.AssignmentStore;
import org.hawthornglade.ports.configuration.ConfigurationStore;
import org.hawthornglade.ports.engine.HttpEngineControl;
import org.hawthornglade.ports.http.PlatformHttpClient;
import org.hawthornglade.ports.table.TableService;

/** Binds the components of an agent. */
public final class AgentModule extends AbstractModule {
    private static final int PLATFORM_CONNECTIONS = 4;
    private static final int ENDPOINT_CONNECTIONS = 1_024;

    private final AgentSettings settings;

    /** Creates a module for one agent's settings. */
    public AgentModule(AgentSettings settings) {
        this.settings = settings;
    }

    @Override
    protected void configure() {
        bind(AgentSettings.class).toInstance(settings);
        install(new NodeModule(settings, PLATFORM_CONNECTIONS));
    }

    @Provides
    @Singleton
    AgentIdentity identity(Timeline timeline) {
        return new AgentIdentity(
                InstanceId.of(settings.getInstanceId()),
                FailureDomain.of(settings.getFailureDomain()),
                timeline.bootId(),
                settings.service().orElse(null));
    }

    @Provides
    @Singleton
    AgentDecider decider(AgentIdentity identity) {
        IdlePolicy idle = settings.hasFixedKeepAlive()
                ? FixedKeepAlive.ofMs(settings.getKeepAliveMs())
                : HistogramIdlePolicy.of(Configuration.empty().idle());
        AgentPolicies policies = AgentPolicies.with(idle, new SplittableRandom(identity.bootId()));
        AgentLimits limits = new AgentLimits(
                settings.getDrainTimeoutMs(), settings.getFenceCheckMaxAgeMs(), settings.getMaxRunning());
        return new AgentDecider(identity, policies, limits);
    }

    @Provides
    @Singleton
    EventQueue<AgentEvent> events() {
        return new EventQueue<>();
    }

    @Provides
    @Singleton
    ConfigurationHolder configuration(EventQueue<AgentEvent> events) {
        ConfigurationHolder holder = new ConfigurationHolder();
        holder.addListener(applied -> events.submit(new AgentEvent.ConfigurationApplied(applied)));
        return holder;
    }

    @Provides
    @Singleton
    ViewPublisher views() {
        return new ViewPublisher();
    }

    @Provides
    @Singleton
    AttemptRegistry attemptRegistry(EventQueue<AgentEvent> events) {
        return new AttemptRegistry(events::submit);
    }

    @Provides
    @Singleton
    TableWatcher tableWatcher(
            TableService table,
            AgentIdentity identity,
            ConfigurationHolder holder,
            Clock clock,
            EventQueue<AgentEvent> events) {
        return new TableWatcher(
                identity.instance(),
                new FenceStore(table, identity.instance(), UUID.randomUUID().toString()),
                new AssignmentStore(table),
                new ConfigurationStore(table),
                holder,
                clock,
                events::submit);
    }

    @Provides
    @Singleton
    ExecutorService orders() {
        return Executors.newSingleThreadExecutor(task -> {
            Thread thread = new Thread(task, "engine-orders");
            thread.setDaemon(true);
            return thread;
        });
    }

    @Provides
    @Singleton
    EnginePoller enginePoller(PlatformHttpClient http, EventQueue<AgentEvent> events, ExecutorService orders) {
        return new EnginePoller(new HttpEngineControl(settings.getEndpointUri(), http), events::submit, orders);
    }

    @Provides
    @Singleton
    EndpointPoller endpointPoller(AgentIdentity identity, EnginePoller enginePoller, EventQueue<AgentEvent> events) {
        return identity.servesModels() ? enginePoller : new ServicePoller(settings.getEndpointUri(), events::submit);
    }

    @Provides
    @Singleton
    EndpointClient endpointClient(Clock clock) {
        CloseableHttpClient client =
                DataPathClients.create(ENDPOINT_CONNECTIONS, ENDPOINT_CONNECTIONS, ConnectionConfig.DEFAULT);
        AnswerTimeouts timeouts =
                new AnswerTimeouts(settings.getKeepAliveIntervalMs(), settings.getBetweenBytesTimeoutMs());
        return new EndpointClient(client, settings.getEndpointUri(), timeouts, clock, monitorTimer());
    }

    private static ScheduledExecutorService monitorTimer() {
        return Executors.newSingleThreadScheduledExecutor(task -> {
            Thread thread = new Thread(task, "answer-watch");
            thread.setDaemon(true);
            return thread;
        });
    }

    @Provides
    @Singleton
    AttemptsResource attemptsResource(
            AttemptRegistry attempts, EndpointClient endpoint, ClusterKeys keys, Clock clock) {
        return new AttemptsResource(attempts, endpoint, keys, clock, settings.getMaxBodyBytes());
    }

    @Provides
    @Singleton
    ControlContext control(
            AgentIdentity identity,
            ClusterKeys keys,
            EventQueue<AgentEvent> events,
            ViewPublisher views,
            AttemptRegistry attempts,
            ConfigurationHolder holder,
            Timeline timeline) {
        return new ControlContext(identity.instance(), keys, events, views, attempts, holder, timeline);
    }
}
