package org.hawthornglade.gateway.exchange;

import static com.google.common.truth.Truth.assertThat;

import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.hawthornglade.core.dispatch.CallView;
import org.hawthornglade.core.dispatch.ModelDemand;
import org.hawthornglade.core.fleet.Endpoint;
import org.hawthornglade.core.fleet.Fleet;
import org.hawthornglade.core.fleet.InstanceAddress;
import org.hawthornglade.core.fleet.InstanceRecord;
import org.hawthornglade.core.fleet.PromptPart;
import org.hawthornglade.core.id.FailureDomain;
import org.hawthornglade.core.id.InstanceId;
import org.hawthornglade.core.id.ModelName;
import org.hawthornglade.core.id.PromptPartId;
import org.hawthornglade.core.id.RequestDigest;
import org.hawthornglade.core.id.ServiceName;
import org.hawthornglade.core.id.SoftwareVersion;
import org.hawthornglade.core.quarantine.PromptQuarantine;
import org.hawthornglade.core.serving.CallKind;
import org.hawthornglade.core.serving.Route;
import org.hawthornglade.core.time.Clock;
import org.hawthornglade.gateway.http.ConnectionPool;
import org.hawthornglade.gateway.http.UnexpectedResponseListener;
import org.hawthornglade.gateway.log.EventLog;
import org.hawthornglade.gateway.loop.Timers;
import org.hawthornglade.gateway.metrics.GatewayMetrics;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Telling the crash of an instance from a lost connection, over sockets. */
class CrashDetectorTest {
    private static final Route ROUTE =
            new Route("r", "h.example", "/r/", CallKind.STREAM, 15_000, 800, 500, 4_000, 1, 0, false, List.of());

    private final NioEventLoopGroup group = new NioEventLoopGroup(1);
    private final EventLoop loop = group.next();
    private final Clock clock = Clock.system();
    private final EventLog log =
            new EventLog(clock, new PrintStream(new ByteArrayOutputStream(), true, StandardCharsets.UTF_8));
    private final PromptQuarantine quarantine =
            new PromptQuarantine("entry", new QuarantineLog(log, new GatewayMetrics()));
    private final EndpointConnections connections =
            new EndpointConnections(loop, clock, UnexpectedResponseListener.NONE);

    @AfterEach
    void stop() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
    }

    private static CallView call(boolean withPrompt) {
        return withPrompt ? call() : plainCall();
    }

    private static CallView plainCall() {
        return new CallView(
                ServiceName.of("desk"),
                ROUTE,
                Optional.empty(),
                0,
                5_000,
                () -> Optional.of(new RequestDigest("9c41d07b")));
    }

    private static CallView call() {
        List<PromptPart> prefix =
                List.of(new PromptPart(PromptPartId.of("a"), 100), new PromptPart(PromptPartId.of("own"), 100));
        ModelDemand demand = new ModelDemand(ModelName.of("m"), Optional.empty(), 300, 10, prefix);
        return new CallView(ServiceName.of("drafts"), ROUTE, Optional.of(demand), 0, 5_000);
    }

    private Endpoint endpoint(int port, boolean leaving) {
        InstanceRecord record = new InstanceRecord(
                InstanceId.of("i-1"),
                ServiceName.of("drafts"),
                SoftwareVersion.of("v1"),
                new InstanceAddress("127.0.0.1", port),
                FailureDomain.of("zone-a"),
                8,
                leaving,
                OptionalLong.empty(),
                1,
                1,
                Map.of(),
                Set.of(),
                Set.of());
        Fleet fleet = new Fleet();
        fleet.onSnapshot(List.of(record), clock.nowMs());
        return fleet.endpoint(record.id()).orElseThrow();
    }

    /**
     * A server that breaks off one answer, or drains, was not told from one that a prompt has crashed; calls to plain
     * services were not reported at all.
     */
    @ParameterizedTest(name = "accepting: {0}, leaving: {1}, prompt: {2}")
    @CsvSource({
        "true, false, true, false",
        "false, false, true, true",
        "false, true, true, false",
        "true, false, false, false",
        "false, false, false, true",
        "false, true, false, false",
    })
    void callIsReportedOnlyIfItsInstanceRefusesConnections(
            boolean accepting, boolean leaving, boolean withPrompt, boolean suspected) throws Exception {
        try (ServerSocket listener = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            if (!accepting) {
                listener.close();
            }
            Endpoint endpoint = endpoint(listener.getLocalPort(), leaving);
            Timers timers = new Timers(loop, log);
            CrashDetector detector = new CrashDetector(timers, clock, connections, quarantine);
            CompletableFuture<Boolean> checked = new CompletableFuture<>();
            timers.run(() -> {
                detector.onCutOff(endpoint, call(withPrompt), clock.nowMs());
                // Begins after the check of the detector, so that it ends after it.
                timers.after(100, () -> checkAgain(endpoint, checked));
            });
            checked.get(5, TimeUnit.SECONDS);
            assertThat(loop.submit(() -> quarantine.suspected(call(withPrompt))).get(5, TimeUnit.SECONDS))
                    .isEqualTo(suspected);
        }
    }

    private void checkAgain(Endpoint endpoint, CompletableFuture<Boolean> checked) {
        ConnectionPool pool = connections.pool(endpoint.record());
        pool.checkAccepting(result -> loop.execute(() -> checked.complete(result)));
    }
}
