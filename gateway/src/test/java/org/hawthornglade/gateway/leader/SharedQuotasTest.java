package org.hawthornglade.gateway.leader;

import static com.google.common.truth.Truth.assertThat;

import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import io.vavr.control.Either;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.hawthornglade.core.fleet.Fleet;
import org.hawthornglade.core.fleet.InstanceAddress;
import org.hawthornglade.core.fleet.InstanceRecord;
import org.hawthornglade.core.id.FailureDomain;
import org.hawthornglade.core.id.TeamName;
import org.hawthornglade.core.lease.FencingToken;
import org.hawthornglade.core.lease.StoredLease;
import org.hawthornglade.core.quarantine.PromptQuarantine;
import org.hawthornglade.core.quota.QuotaClient;
import org.hawthornglade.core.quota.QuotaDecision;
import org.hawthornglade.core.quota.QuotaTolerance;
import org.hawthornglade.core.replica.EngineReport;
import org.hawthornglade.core.replica.OrderOutcome;
import org.hawthornglade.core.replica.ReplicaOrder;
import org.hawthornglade.core.result.Failure;
import org.hawthornglade.core.serving.RequestLimits;
import org.hawthornglade.core.serving.ServingConfiguration;
import org.hawthornglade.core.store.StoreEra;
import org.hawthornglade.core.store.StoreRevision;
import org.hawthornglade.core.team.ApiKey;
import org.hawthornglade.core.team.QuotaUnit;
import org.hawthornglade.core.team.Team;
import org.hawthornglade.core.team.TeamDirectory;
import org.hawthornglade.core.team.TeamQuota;
import org.hawthornglade.core.time.Clock;
import org.hawthornglade.gateway.GatewaySettings;
import org.hawthornglade.gateway.LoadControlSettings;
import org.hawthornglade.gateway.exchange.QuarantineLog;
import org.hawthornglade.gateway.exchange.WaitingCalls;
import org.hawthornglade.gateway.http.CallerLimits;
import org.hawthornglade.gateway.log.EventLog;
import org.hawthornglade.gateway.loop.LoopContext;
import org.hawthornglade.gateway.loop.Timers;
import org.hawthornglade.gateway.metrics.GatewayMetrics;
import org.hawthornglade.gateway.port.EngineControl;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** The messages on quotas between two entries on loopback. */
class SharedQuotasTest {
    private static final TeamName TEAM = TeamName.of("t");
    private static final TeamQuota QUOTA = new TeamQuota(QuotaUnit.TOKEN, 100_000, 100_000, 200);
    private static final long LIMIT_NS = Duration.ofSeconds(20).toNanos();

    /** No engines. */
    private static final class NoEngines implements EngineControl {
        @Override
        public void order(
                InstanceRecord target,
                ReplicaOrder order,
                String holder,
                FencingToken token,
                Consumer<OrderOutcome> done) {}

        @Override
        public void report(InstanceRecord target, Consumer<Either<Failure, EngineReport>> done) {}
    }

    private final NioEventLoopGroup group = new NioEventLoopGroup(1);
    private final EventLoop loop = group.next();
    private final MemoryLeaseStore store =
            new MemoryLeaseStore(new StoredLease(new StoreRevision(new StoreEra(1), 0), Optional.empty()));
    private final List<QuotaClient> clients = new ArrayList<>();
    private final List<PlacementCoordinator> coordinators = new ArrayList<>();
    private final Clock clock = Clock.system();

    @AfterEach
    void stop() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
    }

    private static InstanceAddress freeAddress() throws IOException {
        try (ServerSocket socket = new ServerSocket(0)) {
            return new InstanceAddress("127.0.0.1", socket.getLocalPort());
        }
    }

    private void startEntry(String node) throws Exception {
        InstanceAddress address = freeAddress();
        EventLog log = new EventLog(clock, new PrintStream(new ByteArrayOutputStream(), true, StandardCharsets.UTF_8));
        GatewayMetrics metrics = new GatewayMetrics();
        QuotaTolerance tolerance = new QuotaTolerance(8_000, 0.1, 0);
        GatewaySettings settings = new GatewaySettings(
                node,
                FailureDomain.of("d"),
                address,
                address,
                address,
                address,
                List.of(),
                3_000,
                false,
                0,
                0.1,
                1,
                tolerance,
                LoadControlSettings.NONE,
                CallerLimits.DEFAULT);
        LoopContext context = new LoopContext(loop, new Timers(loop, log), clock, System::currentTimeMillis, log);
        Fleet fleet = new Fleet();
        WaitingCalls waitingCalls = new WaitingCalls();
        QuotaClient client = new QuotaClient(tolerance, clients.size() + 1);
        PlacementCoordinator coordinator = new PlacementCoordinator(
                settings,
                context,
                fleet,
                waitingCalls,
                new DemandCollector(node, fleet, waitingCalls),
                store,
                new NoEngines(),
                new PromptQuarantine(node, new QuarantineLog(log, metrics)),
                client,
                () -> {},
                metrics);
        Team team = new Team(TEAM, OptionalInt.empty(), Optional.of(QUOTA));
        ServingConfiguration configuration = new ServingConfiguration(
                1,
                List.of(),
                List.of(),
                RequestLimits.DEFAULT,
                TeamDirectory.of(Map.of(team, List.of(new ApiKey("k")))));
        loop.submit(() -> coordinator.onConfiguration(configuration)).get(5, TimeUnit.SECONDS);
        coordinator.start();
        clients.add(client);
        coordinators.add(coordinator);
    }

    private boolean admits(QuotaClient client) throws Exception {
        QuotaDecision decision =
                loop.submit(() -> client.decide(TEAM, 200, clock.nowMs())).get(5, TimeUnit.SECONDS);
        return decision.kind() == QuotaDecision.Kind.ADMIT;
    }

    /** Guards against entries that are never granted anything, because reports or answers get lost on their way. */
    @Test
    void leaderGrantsToItselfAndToAFollower() throws Exception {
        startEntry("e1");
        startEntry("e2");
        for (QuotaClient client : clients) {
            long endNs = System.nanoTime() + LIMIT_NS;
            boolean admitted = false;
            while (!admitted && System.nanoTime() < endNs) {
                admitted = admits(client);
            }
            assertThat(admitted).isTrue();
        }
        assertThat(clients.get(0).entries()).isAtLeast(1);
        assertThat(clients.get(1).entries()).isEqualTo(2);
    }
}
