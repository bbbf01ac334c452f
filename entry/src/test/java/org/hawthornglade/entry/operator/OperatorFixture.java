package org.hawthornglade.entry.operator;

import jakarta.ws.rs.core.Response;
import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import org.apache.hc.client5.http.impl.classic.HttpClients;
import org.hawthornglade.core.config.ConfigurationHolder;
import org.hawthornglade.core.event.Timeline;
import org.hawthornglade.core.id.InstanceId;
import org.hawthornglade.core.id.PlanId;
import org.hawthornglade.core.time.ManualClock;
import org.hawthornglade.entry.CallerKey;
import org.hawthornglade.entry.OperatorToken;
import org.hawthornglade.entry.control.AgentLinks;
import org.hawthornglade.entry.control.LinkContext;
import org.hawthornglade.node.auth.ClusterKeys;
import org.hawthornglade.ports.configuration.AssignmentStore;
import org.hawthornglade.ports.configuration.ConfigurationStore;
import org.hawthornglade.ports.configuration.PlanService;
import org.hawthornglade.ports.configuration.PlanStore;
import org.hawthornglade.ports.table.TableService;

/** The operator interface of one entry, without sockets. */
final class OperatorFixture {
    static final String NORTH = "Bearer token-north";
    static final String SOUTH = "Bearer token-south";
    static final String CALLER = "Bearer key-of-mills";

    private static final AtomicInteger PLANS = new AtomicInteger();

    final ManualClock clock = new ManualClock(1_000_000);
    final Timeline timeline = new Timeline("entry-1", 100, clock, event -> {});
    final ConfigurationHolder holder = new ConfigurationHolder();
    final InstanceId self = InstanceId.of("entry-1");
    final FleetTracker fleet = new FleetTracker(self, holder);
    final OperatorResource resource;

    OperatorFixture(TableService table) {
        AgentLinks links = new AgentLinks(new LinkContext(
                "entry-1",
                1,
                new ClusterKeys(List.of("0123456789abcdef")),
                holder,
                timeline,
                event -> {},
                waitMs -> waitMs,
                100,
                1_000));
        ConfigurationStore configurations = new ConfigurationStore(table);
        AssignmentStore assignments = new AssignmentStore(table);
        PlanStore plans = new PlanStore(table);
        PeerEntryClient peers = new PeerEntryClient(HttpClients.createMinimal());
        TimelineCollector timelines = new TimelineCollector(timeline, links, fleet, peers);
        PlanService planService = new PlanService(
                configurations, plans, assignments, fleet, () -> PlanId.of("plan-" + PLANS.incrementAndGet()), clock);
        OperatorTokens tokens = new OperatorTokens(
                List.of(new OperatorToken("token-north", "north"), new OperatorToken("token-south", "south")),
                List.of(new CallerKey("key-of-mills", "mills", "drafting")));
        resource = new OperatorResource(
                tokens,
                planService,
                new StatusReader(holder, configurations, assignments, plans, fleet, peers),
                new Explainer(timelines, holder, fleet),
                timelines,
                links,
                holder,
                timeline,
                self);
    }

    Response plan(String authorization, String intent) throws IOException {
        return resource.plan(authorization, new ByteArrayInputStream(intent.getBytes(StandardCharsets.UTF_8)));
    }
}
