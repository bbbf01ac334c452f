package org.hawthornglade.entry;

import com.google.common.flogger.FluentLogger;
import com.google.inject.Inject;
import com.google.inject.Singleton;
import io.dropwizard.lifecycle.Managed;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.hawthornglade.core.config.ConfigurationHolder;
import org.hawthornglade.core.config.OrganisationSpec;
import org.hawthornglade.core.entry.EntryCommand;
import org.hawthornglade.core.entry.EntryDecider;
import org.hawthornglade.core.entry.EntryEvent;
import org.hawthornglade.core.event.EventDraft;
import org.hawthornglade.core.event.EventKind;
import org.hawthornglade.core.event.Timeline;
import org.hawthornglade.core.time.Clock;
import org.hawthornglade.entry.attempt.OpenAttempts;
import org.hawthornglade.entry.attempt.PendingRequests;
import org.hawthornglade.entry.claim.ClaimCleaner;
import org.hawthornglade.entry.claim.GroupedClaims;
import org.hawthornglade.entry.control.AgentLinks;
import org.hawthornglade.node.loop.DecisionLoop;
import org.hawthornglade.node.loop.EventQueue;
import org.hawthornglade.node.loop.PeriodicTasks;
import org.hawthornglade.ports.configuration.ConfigurationStore;
import org.hawthornglade.ports.instance.InstanceList;

/** Runs the parts of an entry: starts them in order, and on a stop lets requests finish first. */
@Singleton
public final class EntryProcess implements Managed {
    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();
    private static final long FINAL_EVENTS_TIMEOUT_MS = 500;

    private final EntrySettings settings;
    private final EventQueue<EntryEvent> events;
    private final GroupedClaims claims;
    private final ClaimCleaner cleaner;
    private final AgentLinks links;
    private final InstanceList instances;
    private final ConfigurationStore configurations;
    private final ConfigurationHolder holder;
    private final Timeline timeline;
    private final DecisionLoop<EntryEvent, EntryCommand> loop;
    private final PeriodicTasks instanceTasks = new PeriodicTasks("instances");
    private final PeriodicTasks tableTasks = new PeriodicTasks("table");
    private final CountDownLatch stopped = new CountDownLatch(1);

    /** Creates the process; nothing runs before {@link #start}. */
    @Inject
    public EntryProcess(
            EntrySettings settings,
            EventQueue<EntryEvent> events,
            EntryDecider decider,
            Clock clock,
            PendingRequests pending,
            OpenAttempts openAttempts,
            GroupedClaims claims,
            ClaimCleaner cleaner,
            AgentLinks links,
            InstanceList instances,
            ConfigurationStore configurations,
            ConfigurationHolder holder,
            Timeline timeline) {
        this.settings = settings;
        this.events = events;
        this.claims = claims;
        this.cleaner = cleaner;
        this.links = links;
        this.instances = instances;
        this.configurations = configurations;
        this.holder = holder;
        this.timeline = timeline;
        EntryCommandRunner runner = new EntryCommandRunner(pending, openAttempts, links, timeline, stopped::countDown);
        this.loop = new DecisionLoop<>(
                "entry-decisions", events, decider, clock, runner, new EntryEvent.Tick(), settings.getTickMs());
    }

    @Override
    public void start() {
        timeline.record(EventDraft.of(EventKind.PROCESS_STARTED).instance(settings.getInstanceId()));
        claims.start();
        loop.start();
        instanceTasks.runRepeatedly(settings.getPlatform().getInstanceListIntervalMs(), this::readInstances);
        tableTasks.runRepeatedly(settings.getPlatform().getTableReadIntervalMs(), this::readConfiguration);
        tableTasks.runRepeatedly(settings.getClaimCleanIntervalMs(), this::cleanClaims);
    }

    /** Makes the decider refuse new requests; those in progress continue. */
    public void rejectNewRequests() {
        timeline.record(EventDraft.of(EventKind.PROCESS_STOPPING).instance(settings.getInstanceId()));
        events.submit(new EntryEvent.StopRequested());
    }

    /** Records that requests were still in progress when the time limit of a planned stop expired. */
    public void recordStopTimeout(int inFlight) {
        String detail = "stop limit of " + settings.getStopTimeoutMs() + " ms reached, requests aborted: " + inFlight;
        timeline.record(EventDraft.of(EventKind.PROCESS_STOPPED)
                .instance(settings.getInstanceId())
                .detail(detail));
        LOG.atWarning().log("event=stop_timeout limit_ms=%d cut=%d", settings.getStopTimeoutMs(), inFlight);
    }

    @Override
    public void stop() throws InterruptedException {
        events.submit(new EntryEvent.StopRequested());
        if (!stopped.await(FINAL_EVENTS_TIMEOUT_MS, TimeUnit.MILLISECONDS)) {
            LOG.atWarning().log("event=stopped_with_requests");
        }
        claims.close();
        instanceTasks.close();
        tableTasks.close();
        links.close();
        loop.close();
    }

    private void readInstances() {
        instances
                .list()
                .peek(links::updateInstances)
                .peekLeft(failure -> LOG.atWarning().log(
                        "event=instance_list_failed code=%d detail=\"%s\"",
                        failure.code().number(), failure.message()));
    }

    private void cleanClaims() {
        cleaner.cleanNextShard(holder.current().organisations().stream()
                        .map(OrganisationSpec::id)
                        .toList())
                .peekLeft(failure -> LOG.atWarning().log(
                        "event=claim_clean_failed code=%d detail=\"%s\"",
                        failure.code().number(), failure.message()));
    }

    private void readConfiguration() {
        configurations
                .newerThan(holder.current().version())
                .peek(newer -> newer.ifPresent(holder::offer))
                .peekLeft(failure -> LOG.atWarning().log(
                        "event=configuration_read_failed code=%d detail=\"%s\"",
                        failure.code().number(), failure.message()));
    }
}
