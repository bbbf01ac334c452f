package org.hawthornglade.gateway.exchange;

import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.hawthornglade.core.dispatch.CallView;
import org.hawthornglade.core.dispatch.Dispatcher;
import org.hawthornglade.core.dispatch.LeastLoadedSelector;
import org.hawthornglade.core.fleet.Fleet;
import org.hawthornglade.core.fleet.InstanceAddress;
import org.hawthornglade.core.fleet.InstanceRecord;
import org.hawthornglade.core.id.FailureDomain;
import org.hawthornglade.core.id.InstanceId;
import org.hawthornglade.core.id.ServiceName;
import org.hawthornglade.core.id.SoftwareVersion;
import org.hawthornglade.core.pace.Pacing;
import org.hawthornglade.core.quarantine.PromptQuarantine;
import org.hawthornglade.core.quota.QuotaClient;
import org.hawthornglade.core.quota.QuotaTolerance;
import org.hawthornglade.core.serving.CallKind;
import org.hawthornglade.core.serving.RequestLimits;
import org.hawthornglade.core.serving.Route;
import org.hawthornglade.core.serving.ServiceDefinition;
import org.hawthornglade.core.serving.ServingConfiguration;
import org.hawthornglade.core.serving.WeightedService;
import org.hawthornglade.core.stop.OpenWork;
import org.hawthornglade.core.team.TeamDirectory;
import org.hawthornglade.core.time.Clock;
import org.hawthornglade.gateway.http.CallerServer;
import org.hawthornglade.gateway.log.EventLog;
import org.hawthornglade.gateway.loop.Timers;
import org.hawthornglade.gateway.memory.BodyPressureLog;
import org.hawthornglade.gateway.memory.RequestBodyBudget;
import org.hawthornglade.gateway.metrics.GatewayMetrics;
import org.hawthornglade.gateway.resumption.InMemoryStreamStore;
import org.hawthornglade.gateway.resumption.StreamResumption;

/** An entry in front of scripted endpoints, and a caller that sends raw bytes. */
final class TestEntry implements AutoCloseable {
    static final ServiceName SERVICE = ServiceName.of("orders");
    private static final FailureDomain LOCAL_DOMAIN = FailureDomain.of("zone-a");
    private static final int READ_TIMEOUT_MS = 5_000;
    private static final long PATIENT_TARGET_MS = 60_000;
    private static final long BODY_BYTES = 40_000_000;
    private static final int KNOWN_CALLS = 20;

    private final NioEventLoopGroup group = new NioEventLoopGroup(1);
    private final ResponseBufferBudget bufferBudget = new ResponseBufferBudget();
    private final WaitingCalls waitingCalls = new WaitingCalls();
    private final Timers timers;
    private final Fleet fleet;
    private final InMemoryStreamStore streamStore;
    private final StreamResumption resumption;
    private final Clock clock = Clock.system();
    private final GatewayMetrics metrics = new GatewayMetrics();
    private final EventLog log;
    private final CallerServer server;
    private final CallReceiver receiver;
    private final RequestBodyBudget bodies;
    private final int port;
    private final ByteArrayOutputStream logBytes = new ByteArrayOutputStream();
    private final QuotaClient quotaClient = new QuotaClient(new QuotaTolerance(8_000, 0.1, 0), 1);
    private volatile ServingConfiguration configuration = configuration(1, TeamDirectory.NONE);

    TestEntry(List<ScriptedEndpoint> endpoints) throws IOException {
        this(endpoints, LIMITS, new RetryBudgets(0.1, 10));
    }

    TestEntry(List<ScriptedEndpoint> endpoints, RequestLimits limits, RetryBudgets budgets) throws IOException {
        this(endpoints, endpoints.stream().map(each -> "v1").toList(), limits, budgets);
    }

    /** Creates an entry whose endpoints run the given versions of their software. */
    TestEntry(List<ScriptedEndpoint> endpoints, List<String> versions, RequestLimits limits, RetryBudgets budgets)
            throws IOException {
        this(
                limits,
                budgets,
                endpoints.stream().map(ScriptedEndpoint::port).toList(),
                versions,
                startsOf(endpoints),
                BODY_BYTES);
    }

    private static StartCheck startsOf(List<ScriptedEndpoint> endpoints) {
        return (record, done) -> done.accept(endpoints.stream()
                .filter(endpoint -> endpoint.port() == record.address().port())
                .map(endpoint -> start(endpoint, record))
                .findFirst()
                .orElse(StartCheck.Result.UNKNOWN));
    }

    private static StartCheck.Result start(ScriptedEndpoint endpoint, InstanceRecord record) {
        if (endpoint.bornMs().isEmpty()) {
            return StartCheck.Result.UNKNOWN;
        }
        boolean same = endpoint.bornMs().getAsLong() == record.bornMs();
        return same ? StartCheck.Result.SAME : StartCheck.Result.OTHER;
    }

    private TestEntry(
            RequestLimits limits,
            RetryBudgets budgets,
            List<Integer> ports,
            List<String> versions,
            StartCheck startCheck,
            long bodyBytes)
            throws IOException {
        EventLoop loop = group.next();
        log = new EventLog(clock, new PrintStream(logBytes, true, StandardCharsets.UTF_8));
        timers = new Timers(loop, log);
        fleet = new Fleet();
        List<InstanceRecord> records = new ArrayList<>();
        for (int i = 0; i < ports.size(); i++) {
            records.add(record("i-" + i, ports.get(i), i, versions.get(i), ScriptedEndpoint.FIRST_BORN_MS));
        }
        fleet.onSnapshot(records, clock.nowMs());
        waitingCalls.setOverloadControl(new OverloadControl(false, () -> 1, fleet, clock));
        LeastLoadedSelector selector = new LeastLoadedSelector(LOCAL_DOMAIN);
        PromptQuarantine quarantine = new PromptQuarantine("entry", new QuarantineLog(log, new GatewayMetrics()));
        EndpointConnections connections =
                new EndpointConnections(loop, clock, new UnexpectedResponseLog(log, new GatewayMetrics()));
        streamStore = new InMemoryStreamStore(clock::nowMs);
        resumption = new StreamResumption(
                fleet, streamStore, timers, clock, log, new GatewayMetrics(), new Random(1), waitingCalls::reconsider);
        timers.run(() -> resumption.onServices(Set.of(SERVICE)));
        ExchangeContext context = new ExchangeContext(
                timers,
                clock,
                fleet,
                new Dispatcher(fleet, selector, selector, quarantine, resumption.gate()),
                connections,
                waitingCalls,
                bufferBudget,
                budgets,
                quarantine,
                new QuotaGate(quotaClient, timers, clock, log, metrics),
                resumption,
                startCheck,
                new CrashDetector(timers, clock, connections, quarantine),
                Pacing.onlyStated(new Random(1)),
                new TestProtocol(),
                log,
                metrics);
        metrics.start();
        receiver = new CallReceiver(context, () -> Optional.of(configuration), view -> {}, new Random(1));
        bodies = new RequestBodyBudget(bodyBytes, clock, new BodyPressureLog(clock, log, metrics));
        server = new CallerServer(loop, timers, clock, () -> limits, receiver, bodies);
        port = server.listen(new InstanceAddress("127.0.0.1", 0));
    }

    /** Creates an entry whose endpoints listen at the given ports. */
    static TestEntry ofPorts(List<Integer> ports, RetryBudgets budgets) throws IOException {
        return new TestEntry(
                LIMITS,
                budgets,
                ports,
                ports.stream().map(each -> "v1").toList(),
                (record, done) -> done.accept(StartCheck.Result.SAME),
                BODY_BYTES);
    }

    /** Creates an entry with one endpoint at a port, of which nothing else is known. */
    static TestEntry ofPort(int port, RequestLimits limits) throws IOException {
        StartCheck same = (record, done) -> done.accept(StartCheck.Result.SAME);
        return new TestEntry(limits, new RetryBudgets(0.1, 10), List.of(port), List.of("v1"), same, BODY_BYTES);
    }

    /** Creates an entry with one endpoint and a limit for the bodies of all requests together. */
    static TestEntry ofBodyBytes(ScriptedEndpoint endpoint, RequestLimits limits, long bodyBytes) throws IOException {
        return new TestEntry(
                limits,
                new RetryBudgets(0.1, 10),
                List.of(endpoint.port()),
                List.of("v1"),
                (record, done) -> done.accept(StartCheck.Result.SAME),
                bodyBytes);
    }

    static final RequestLimits LIMITS = new RequestLimits(2_048, 10_000, 3_000, 15_000);

    /** The first endpoint is in the local failure domain, so that calls go there first. */
    private static InstanceRecord record(String id, int port, int index, String version, long bornMs) {
        return new InstanceRecord(
                InstanceId.of(id),
                SERVICE,
                SoftwareVersion.of(version),
                new InstanceAddress("127.0.0.1", port),
                index == 0 ? LOCAL_DOMAIN : FailureDomain.of("zone-b"),
                8,
                false,
                OptionalLong.empty(),
                bornMs,
                1,
                Map.of(),
                Set.of(),
                Set.of());
    }

    /** Puts a new version of the configuration with these teams into force. */
    void onTeams(TeamDirectory teams) {
        configuration = configuration(configuration.version() + 1, teams);
    }

    /** Acts on the quotas on the event loop, with the time of the entry's clock. */
    void onQuotas(BiConsumer<QuotaClient, Long> action) throws Exception {
        group.submit(() -> action.accept(quotaClient, clock.nowMs())).get(5, TimeUnit.SECONDS);
    }

    /** Returns the text that was logged so far. */
    String log() {
        log.flush(READ_TIMEOUT_MS);
        return logBytes.toString(StandardCharsets.UTF_8);
    }

    /** Enables early refusals, with the time that calls of each kind have taken so far, in milliseconds. */
    void enableOverloadControl(long callMs) throws Exception {
        setOverloadControl(true, callMs);
    }

    /** Sets whether early refusals are enabled by the settings, and the time that calls have taken so far. */
    void setOverloadControl(boolean always, long callMs) throws Exception {
        group.submit(() -> {
                    OverloadControl control = new OverloadControl(always, () -> 1, fleet, clock);
                    waitingCalls.setOverloadControl(control);
                    recordCalls(control, callMs);
                })
                .get(5, TimeUnit.SECONDS);
    }

    private void recordCalls(OverloadControl control, long callMs) {
        Route route = route("safe", CallKind.SAFE, 2, false);
        CallView call = new CallView(SERVICE, route, Optional.empty(), clock.nowMs(), clock.nowMs() + callMs);
        for (int i = 0; i < KNOWN_CALLS; i++) {
            control.onCompleted(call, callMs, callMs, clock.nowMs());
        }
    }

    /** Returns how many calls wait; read on the event loop. */
    int waiting() throws Exception {
        return group.submit(() -> waitingCalls.all().size()).get(5, TimeUnit.SECONDS);
    }

    /** Returns the ids of the waiting calls in the order in which these are decided; read on the event loop. */
    List<String> idsOfWaitingCalls() throws Exception {
        return group.submit(() -> waitingCalls.all().stream()
                        .map(exchange -> exchange.request().id().value())
                        .toList())
                .get(5, TimeUnit.SECONDS);
    }

    /** Returns the teams of the waiting calls in the order in which these are decided; read on the event loop. */
    List<String> teamsOfWaitingCalls() throws Exception {
        return group.submit(() -> waitingCalls.all().stream()
                        .map(exchange ->
                                exchange.view().team().orElseThrow().name().value())
                        .toList())
                .get(5, TimeUnit.SECONDS);
    }

    private static ServingConfiguration configuration(long version, TeamDirectory teams) {
        return new ServingConfiguration(
                version,
                List.of(
                        route("safe", CallKind.SAFE, 2, false),
                        route("unsafe", CallKind.UNSAFE, 1, false),
                        route("stream", CallKind.STREAM, 1, false),
                        route("resumable", CallKind.STREAM, 2, true),
                        patientRoute("patient", CallKind.STREAM, 2, true),
                        publicRoute("public")),
                List.of(new ServiceDefinition(SERVICE, 10, Optional.empty())),
                LIMITS,
                teams);
    }

    private static Route publicRoute(String name) {
        Route route = route(name, CallKind.SAFE, 2, false);
        return new Route(
                route.name(),
                route.host(),
                route.pathPrefix(),
                route.kind(),
                route.timeoutMs(),
                route.targetMs(),
                route.gapTargetMs(),
                route.abandonMs(),
                route.maxAttempts(),
                route.priority(),
                route.resumable(),
                true,
                route.targets());
    }

    private static Route route(String name, CallKind kind, int attempts, boolean resumable) {
        return route(name, kind, 1_000, 500, attempts, resumable);
    }

    /** Returns a route on which a busy machine does not make an endpoint look silent. */
    private static Route patientRoute(String name, CallKind kind, int attempts, boolean resumable) {
        return route(name, kind, PATIENT_TARGET_MS, PATIENT_TARGET_MS, attempts, resumable);
    }

    private static Route route(
            String name, CallKind kind, long targetMs, long gapTargetMs, int attempts, boolean resumable) {
        return new Route(
                name,
                "h.example",
                "/" + name + "/",
                kind,
                4_000,
                targetMs,
                gapTargetMs,
                4_000,
                attempts,
                0,
                resumable,
                List.of(new WeightedService(SERVICE, 1)));
    }

    /** Decides again on the waiting calls, on the event loop. */
    void reconsider() throws Exception {
        group.submit(waitingCalls::reconsider).get(5, TimeUnit.SECONDS);
    }

    /** Logs the open calls, as at the steps of a stop. */
    void logOpenCalls() {
        onLoop(() -> {
            receiver.logOpenCalls();
            return true;
        });
    }

    /** Refuses waiting and new calls, as late in a stop. */
    void startRefusing() throws InterruptedException {
        CountDownLatch done = new CountDownLatch(1);
        timers.run(() -> {
            waitingCalls.refuseAll();
            done.countDown();
        });
        done.await(5, TimeUnit.SECONDS);
    }

    /** Lists a new start of an instance under its id, with another version of its software. */
    void restart(int index, ScriptedEndpoint endpoint, String version) throws Exception {
        InstanceRecord restarted = record("i-" + index, endpoint.port(), index, version, 2);
        group.submit(() -> {
                    fleet.onChanged(restarted, clock.nowMs());
                    resumption.fleetChanged();
                })
                .get(5, TimeUnit.SECONDS);
    }

    /** Applies a change to the list of instances on the event loop. */
    void onFleet(BiConsumer<Fleet, Long> change) throws Exception {
        group.submit(() -> change.accept(fleet, clock.nowMs())).get(5, TimeUnit.SECONDS);
    }

    /** Uses the store of versions and origins on the event loop. */
    void onStreamStore(Consumer<InMemoryStreamStore> action) throws Exception {
        group.submit(() -> action.accept(streamStore)).get(5, TimeUnit.SECONDS);
    }

    /** Ends the open calls with an error, as at the end of a stop. */
    void failOpenCalls() throws InterruptedException {
        CountDownLatch done = new CountDownLatch(1);
        timers.run(() -> {
            receiver.failOpenCalls();
            done.countDown();
        });
        done.await(5, TimeUnit.SECONDS);
    }

    /** Begins a planned stop: connections are closed after their last response. */
    void startDraining() throws Exception {
        group.submit(server::startDraining).get(5, TimeUnit.SECONDS);
    }

    /** Closes the connections without an open request, and refuses requests that are not complete, as in a stop. */
    void closeIdle() throws Exception {
        group.submit(server::startRefusing).get(5, TimeUnit.SECONDS);
    }

    /** Opens connections while the event loop is busy, and stops listening in the same turn. */
    List<Socket> connectWhileClosing(int count) {
        return onLoop(() -> {
            List<Socket> sockets = new ArrayList<>();
            for (int i = 0; i < count; i++) {
                sockets.add(connect());
            }
            server.close();
            return sockets;
        });
    }

    /** Refuses the requests whose heads are not complete, as at the end of a stop. */
    void refusePartial() throws Exception {
        group.submit(server::refusePartial).get(5, TimeUnit.SECONDS);
    }

    /** Reports what the end of the process would cut off. */
    void reportCutByStop() throws Exception {
        group.submit(server::reportCutByStop).get(5, TimeUnit.SECONDS);
    }

    /** Returns what the end of the process would cut off. */
    OpenWork openWork() {
        return onLoop(server::openWork);
    }

    /** Returns how many connections hold a part of a request. */
    int bodiesBegun() {
        return openWork().partialRequests();
    }

    /** Returns the counts of requests that nothing identifies, as a line. */
    String unidentified() {
        return onLoop(() -> {
            receiver.addUnidentified(log.event("unidentified")).write();
            return log.flush(READ_TIMEOUT_MS) ? log() : "";
        });
    }

    private <T> T onLoop(Callable<T> action) {
        try {
            return group.submit(action).get(5, TimeUnit.SECONDS);
        } catch (InterruptedException | ExecutionException | TimeoutException e) {
            throw new AssertionError(e);
        }
    }

    /** Returns the metrics of calls as text, after the event loop has handled what came before. */
    String metrics() throws Exception {
        return group.submit(metrics::text).get(5, TimeUnit.SECONDS);
    }

    /** Returns the memory that is reserved for responses; read on the event loop. */
    long reservedBytes() throws Exception {
        return group.submit(bufferBudget::reservedBytes).get(5, TimeUnit.SECONDS);
    }

    /** Returns the memory that is reserved for the bodies of requests; read on the event loop. */
    long bodyBytes() throws Exception {
        return group.submit(bodies::reservedBytes).get(5, TimeUnit.SECONDS);
    }

    /** Returns how many bodies are not read on for now; read on the event loop. */
    int waitingBodies() throws Exception {
        return group.submit(bodies::waiting).get(5, TimeUnit.SECONDS);
    }

    int port() {
        return port;
    }

    /** Opens a connection as a caller. */
    Socket connect() throws IOException {
        Socket socket = new Socket(InetAddress.getLoopbackAddress(), port);
        socket.setSoTimeout(READ_TIMEOUT_MS);
        return socket;
    }

    static String post(String path, String id, String body) {
        return "POST " + path + " HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: " + id + "\r\nContent-Length: "
                + body.length() + "\r\n\r\n" + body;
    }

    static void send(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
        socket.getOutputStream().flush();
    }

    /** Reads until the connection ends or the text contains the ending; an empty ending reads to the end. */
    static String read(Socket socket, String ending) throws IOException {
        InputStream in = socket.getInputStream();
        StringBuilder text = new StringBuilder();
        while (ending.isEmpty() || text.indexOf(ending) < 0) {
            int read = in.read();
            if (read < 0) {
                return text.toString();
            }
            text.append((char) read);
        }
        return text.toString();
    }

    /** Makes one call on a new connection, which the entry closes after its response. */
    String call(String path) throws IOException {
        try (Socket socket = connect()) {
            send(socket, post(path, "r-1", "hello").replace("\r\n\r\n", "\r\nConnection: close\r\n\r\n"));
            return read(socket, "");
        }
    }

    @Override
    public void close() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
    }
}
