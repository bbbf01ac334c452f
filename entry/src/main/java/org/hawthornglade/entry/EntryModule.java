package org.hawthornglade.entry;

import com.google.inject.AbstractModule;
import com.google.inject.Provides;
import com.google.inject.Singleton;
import java.util.Random;
import java.util.SplittableRandom;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.Consumer;
import org.apache.hc.client5.http.config.ConnectionConfig;
import org.apache.hc.client5.http.impl.classic.CloseableHttpClient;
import org.apache.hc.core5.util.TimeValue;
import org.apache.hc.core5.util.Timeout;
import org.hawthornglade.core.config.ConfigurationHolder;
import org.hawthornglade.core.entry.EntryDecider;
import org.hawthornglade.core.entry.EntryEvent;
import org.hawthornglade.core.event.Timeline;
import org.hawthornglade.core.id.FailureDomain;
import org.hawthornglade.core.time.Clock;
import org.hawthornglade.entry.attempt.AttemptClient;
import org.hawthornglade.entry.attempt.AttemptRunner;
import org.hawthornglade.entry.attempt.ClaimedCalls;
import org.hawthornglade.entry.attempt.OpenAttempts;
import org.hawthornglade.entry.attempt.PendingRequests;
import org.hawthornglade.entry.attempt.RequestRunner;
import org.hawthornglade.entry.caller.BodyReader;
import org.hawthornglade.entry.caller.CallerKeys;
import org.hawthornglade.entry.caller.FailureMapper;
import org.hawthornglade.entry.caller.ModelStateTracker;
import org.hawthornglade.entry.caller.ModelsResource;
import org.hawthornglade.entry.caller.RequestFactory;
import org.hawthornglade.entry.caller.ServicesResource;
import org.hawthornglade.entry.claim.ClaimCleaner;
import org.hawthornglade.entry.claim.GroupedClaims;
import org.hawthornglade.entry.control.AgentLinks;
import org.hawthornglade.entry.control.LinkContext;
import org.hawthornglade.entry.operator.FleetTracker;
import org.hawthornglade.entry.operator.OperatorModule;
import org.hawthornglade.node.NodeModule;
import org.hawthornglade.node.auth.ClusterKeys;
import org.hawthornglade.node.http.DataPathClients;
import org.hawthornglade.node.loop.EventQueue;
import org.hawthornglade.ports.configuration.ConfigurationStore;
import org.hawthornglade.ports.http.PlatformHttpClient;
import org.hawthornglade.ports.instance.HttpInstanceList;
import org.hawthornglade.ports.instance.InstanceList;
import org.hawthornglade.ports.table.TableService;

/** Binds the classes of an entry. */
public final class EntryModule extends AbstractModule {
    private static final int PLATFORM_CONNECTIONS = 16;
    private static final int AGENT_CONNECTIONS = 1_024;
    private static final int MAX_AGENT_CONNECTIONS = 8_192;
    private static final int AGENT_CONNECT_TIMEOUT_MS = 500;
    private static final int VALIDATE_AFTER_IDLE_MS = 500;
    private static final int MAX_CONNECTION_AGE_MS = 60_000;

    private final EntrySettings settings;

    /** Creates a module for one entry's settings. */
    public EntryModule(EntrySettings settings) {
        this.settings = settings;
    }

    @Override
    protected void configure() {
        bind(EntrySettings.class).toInstance(settings);
        install(new NodeModule(settings, PLATFORM_CONNECTIONS));
        install(new OperatorModule());
    }

    @Provides
    @Singleton
    EventQueue<EntryEvent> events() {
        return new EventQueue<>();
    }

    @Provides
    @Singleton
    EntryDecider decider() {
        return new EntryDecider(FailureDomain.of(settings.getFailureDomain()), new SplittableRandom());
    }

    @Provides
    @Singleton
    ConfigurationHolder configuration(EventQueue<EntryEvent> events) {
        ConfigurationHolder holder = new ConfigurationHolder();
        holder.addListener(applied -> events.submit(new EntryEvent.ConfigurationApplied(applied)));
        return holder;
    }

    @Provides
    @Singleton
    InstanceList instances(PlatformHttpClient http) {
        return new HttpInstanceList(settings.getPlatform().getInstanceListUri(), http);
    }

    @Provides
    @Singleton
    ConfigurationStore configurations(TableService table) {
        return new ConfigurationStore(table);
    }

    @Provides
    @Singleton
    GroupedClaims claims(TableService table, Clock clock) {
        return new GroupedClaims(table, clock, new Random());
    }

    @Provides
    @Singleton
    ClaimCleaner cleaner(TableService table, Clock clock) {
        return new ClaimCleaner(
                table,
                clock,
                settings.getClaimRetentionMs(),
                settings.getProcessName().hashCode());
    }

    @Provides
    @Singleton
    OpenAttempts openAttempts() {
        return new OpenAttempts();
    }

    @Provides
    @Singleton
    PendingRequests pending() {
        return new PendingRequests();
    }

    @Provides
    @Singleton
    AgentLinks links(
            ClusterKeys keys,
            ConfigurationHolder holder,
            Timeline timeline,
            EventQueue<EntryEvent> events,
            ModelStateTracker modelStates,
            FleetTracker fleet) {
        Consumer<EntryEvent> sink = event -> {
            modelStates.onEvent(event);
            fleet.onEvent(event);
            events.submit(event);
        };
        return new AgentLinks(new LinkContext(
                settings.getProcessName(),
                timeline.bootId(),
                keys,
                holder,
                timeline,
                sink,
                waitMs -> waitMs / 2 + ThreadLocalRandom.current().nextLong(waitMs),
                settings.getHeartbeatMs(),
                (int) settings.getSilenceTimeoutMs()));
    }

    @Provides
    @Singleton
    AttemptClient attempts(ClusterKeys keys, AgentLinks links) {
        ConnectionConfig connectionConfig = ConnectionConfig.custom()
                .setConnectTimeout(Timeout.ofMilliseconds(AGENT_CONNECT_TIMEOUT_MS))
                .setValidateAfterInactivity(TimeValue.ofMilliseconds(VALIDATE_AFTER_IDLE_MS))
                .setTimeToLive(TimeValue.ofMilliseconds(MAX_CONNECTION_AGE_MS))
                .build();
        CloseableHttpClient client = DataPathClients.create(AGENT_CONNECTIONS, MAX_AGENT_CONNECTIONS, connectionConfig);
        return new AttemptClient(client, links, keys, settings.getProcessName(), settings.getStreamSilenceTimeoutMs());
    }

    @Provides
    @Singleton
    RequestRunner runner(
            PendingRequests pending,
            EventQueue<EntryEvent> events,
            AttemptClient client,
            OpenAttempts openAttempts,
            GroupedClaims claims,
            Clock clock) {
        AttemptRunner attempts = new AttemptRunner(client, openAttempts, clock);
        ClaimedCalls claimed = new ClaimedCalls(claims, clock);
        return new RequestRunner(pending, events::submit, attempts, claimed, settings.getMaxAnswerBytes());
    }

    @Provides
    @Singleton
    RequestFactory requests(ConfigurationHolder holder, Clock clock, Timeline timeline) {
        String prefix = settings.getProcessName() + "-" + Long.toString(timeline.bootId(), Character.MAX_RADIX);
        return new RequestFactory(holder, clock, prefix);
    }

    @Provides
    @Singleton
    CallerKeys callers() {
        return new CallerKeys(settings.getCallerKeys(), settings.getOperatorTokens());
    }

    @Provides
    @Singleton
    BodyReader bodies(Clock clock) {
        return new BodyReader(clock, settings.getMaxBodyBytes(), settings.getMaxBodyReadMs());
    }

    @Provides
    @Singleton
    ModelStateTracker modelStates() {
        return new ModelStateTracker();
    }

    @Provides
    @Singleton
    StopState stop() {
        return new StopState();
    }

    @Provides
    @Singleton
    InFlightFilter inFlight() {
        return new InFlightFilter();
    }

    @Provides
    @Singleton
    GracefulStop gracefulStop(StopState state, EntryProcess process, InFlightFilter requests) {
        return new GracefulStop(state, process, requests, settings.getUnhealthyMs(), settings.getStopTimeoutMs());
    }

    @Provides
    @Singleton
    FailureMapper failures(RequestFactory requests) {
        return new FailureMapper(requests);
    }

    @Provides
    @Singleton
    ModelsResource models(
            CallerKeys keys,
            RequestFactory requests,
            RequestRunner runner,
            BodyReader bodies,
            ModelStateTracker modelStates) {
        return new ModelsResource(keys, requests, runner, bodies, modelStates);
    }

    @Provides
    @Singleton
    ServicesResource services(CallerKeys keys, RequestFactory requests, RequestRunner runner, BodyReader bodies) {
        return new ServicesResource(keys, requests, runner, bodies);
    }
}
