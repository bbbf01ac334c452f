package org.hawthornglade.app.process;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;
import org.hawthornglade.platform.standin.StandinPlatform;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Guards against clients that bring an entry down by filling its memory or its descriptors: the process must stay
 * alive within its bounds, be ready, and serve an ordinary request beside such clients and after them.
 *
 * <p>The JVM has a half of its usual heap and a sixth of its direct memory, so that few clients suffice.
 */
@Tag("process")
final class MisbehavingClientsTest {
    private static final List<String> JVM_FLAGS = List.of(
            "-Xmx48m",
            "-XX:MaxDirectMemorySize=16m",
            "-XX:+UseSerialGC",
            "-XX:TieredStopAtLevel=1",
            "-Xss256k",
            "-XX:ReservedCodeCacheSize=32m",
            "-XX:+ExitOnOutOfMemoryError");
    /** The smallest machine of an entry has 290 MB; this heap and direct memory are 128 MB smaller than usual. */
    private static final long MAX_RESIDENT_KB = 200_000;
    /** Connections that the settings of the test allow; 165 descriptors are open at rest, mostly for the class path. */
    private static final int MAX_CONNECTIONS = 200;

    private static final int OTHER_DESCRIPTORS = 250;
    private static final String CALLER_LIMITS = "{\"maxConnections\": " + MAX_CONNECTIONS + "}";
    private static final long SERVED_WITHIN_MS = 10_000;

    /** The largest body that the configuration of the stand-in allows. */
    private static final int MAX_BODY_BYTES = 100_000;

    private static final int LARGE_PIECE_BYTES = 65_536;
    private static final int SMALL_PIECE_BYTES = 1_000;
    private static final int CLIENTS = 190;
    private static final int PIPELINED_REQUESTS = 5_000;
    private static final int PIPELINING_CLIENTS = 20;

    @TempDir
    Path directory;

    private final MisbehavingClients clients = new MisbehavingClients();
    private GatewayDeployment deployment;

    /** Where the clients send their requests. */
    enum Target {
        ROUTE("/post/x", 0),
        NO_ROUTE("/none/x", 0),
        READINESS(StandinPlatform.READINESS_PATH, 1),
        METRICS("/metrics", 1);

        private final String path;
        private final int portOffset;

        Target(String path, int portOffset) {
            this.path = path;
            this.portOffset = portOffset;
        }
    }

    /** How the clients state the length of a body. */
    enum Framing {
        LENGTH,
        CHUNKS;

        /** Returns a request that lacks the last byte of its body. */
        String unfinished(String path, String fields, int bodyBytes) {
            return head(path, fields, bodyBytes) + body(bodyBytes - 1);
        }

        /** Returns a complete request. */
        String complete(String path, String fields, int bodyBytes) {
            return head(path, fields, bodyBytes) + body(bodyBytes) + (this == CHUNKS ? "0\r\n\r\n" : "");
        }

        private String head(String path, String fields, int bodyBytes) {
            String length = this == LENGTH ? "Content-Length: " + bodyBytes : "Transfer-Encoding: chunked";
            return "POST " + path + " HTTP/1.1\r\nHost: 127.0.0.1\r\nX-Request-Id: bad\r\n" + fields + length
                    + "\r\n\r\n";
        }

        private String body(int bytes) {
            String text = "x".repeat(bytes);
            return this == LENGTH || bytes == 0 ? text : Integer.toHexString(bytes) + "\r\n" + text + "\r\n";
        }
    }

    static Stream<Arguments> rows() {
        return rows(Target.ROUTE, Target.NO_ROUTE, Target.READINESS);
    }

    static Stream<Arguments> rowsWithoutRoute() {
        return rows(Target.NO_ROUTE, Target.READINESS);
    }

    private static Stream<Arguments> rows(Target... targets) {
        return Stream.of(targets)
                .flatMap(target -> Stream.of(Framing.values()).map(framing -> Arguments.of(target, framing)));
    }

    @AfterEach
    void close() throws Exception {
        clients.close();
        if (deployment != null) {
            deployment.close();
        }
    }

    @ParameterizedTest
    @MethodSource("rows")
    void holdsBesideBodiesThatStopShortOfTheirEnd(Target target, Framing framing) throws Exception {
        deploy();
        connect(target, CLIENTS, framing.unfinished(target.path, "", MAX_BODY_BYTES));
        clients.send(LARGE_PIECE_BYTES);
        assertHolds();
    }

    @ParameterizedTest
    @MethodSource("rows")
    void holdsBesideBodiesInSmallPieces(Target target, Framing framing) throws Exception {
        deploy();
        connect(target, CLIENTS, framing.unfinished(target.path, "", MAX_BODY_BYTES));
        clients.send(SMALL_PIECE_BYTES);
        assertHolds();
    }

    /** Guards against callers and clients of the readiness address that fill a budget of their own each. */
    @Test
    void holdsBesideUnfinishedBodiesWithLengthsAtBothAddresses() throws Exception {
        holdsBesideUnfinishedBodiesAtBothAddresses(Framing.LENGTH);
    }

    /** Guards against the same where the bodies come in chunks. */
    @Test
    void holdsBesideUnfinishedBodiesInChunksAtBothAddresses() throws Exception {
        holdsBesideUnfinishedBodiesAtBothAddresses(Framing.CHUNKS);
    }

    private void holdsBesideUnfinishedBodiesAtBothAddresses(Framing framing) throws Exception {
        deploy();
        for (Target target : List.of(Target.ROUTE, Target.READINESS)) {
            connect(target, CLIENTS / 2, framing.unfinished(target.path, "", MAX_BODY_BYTES));
        }
        clients.send(LARGE_PIECE_BYTES);
        assertHolds();
    }

    @ParameterizedTest
    @MethodSource("rows")
    void holdsBesideBodiesFarOverTheLimit(Target target, Framing framing) throws Exception {
        deploy();
        connect(target, CLIENTS, framing.unfinished(target.path, "", 8_000_000));
        clients.send(LARGE_PIECE_BYTES);
        assertHolds();
    }

    @ParameterizedTest
    @MethodSource("rows")
    void holdsBesideRequestsOfManyShortFields(Target target, Framing framing) throws Exception {
        deploy();
        connect(target, CLIENTS, framing.unfinished(target.path, "a:\r\n".repeat(4_000), 100));
        clients.send(LARGE_PIECE_BYTES);
        assertHolds();
    }

    @ParameterizedTest
    @EnumSource(Framing.class)
    void holdsBesidePipelinedRequestsOfManyShortFieldsAtARoute(Framing framing) throws Exception {
        holdsBesidePipelinedRequestsOfManyShortFields(Target.ROUTE, framing);
    }

    @ParameterizedTest
    @MethodSource("rowsWithoutRoute")
    void holdsBesidePipelinedRequestsOfManyShortFields(Target target, Framing framing) throws Exception {
        deploy();
        String request = framing.complete(target.path, "a:\r\n".repeat(4_000), 2);
        connect(target, CLIENTS, request.repeat(10));
        clients.send(LARGE_PIECE_BYTES);
        assertHolds();
    }

    /** Guards against responses that are kept without a bound for clients that do not read them. */
    @ParameterizedTest
    @EnumSource(Framing.class)
    void holdsBesidePipelinedRequestsWhoseResponsesAreNotReadAtARoute(Framing framing) throws Exception {
        holdsBesidePipelinedRequestsWhoseResponsesAreNotRead(Target.ROUTE, framing);
    }

    /** Guards against responses that are kept without a bound for clients that do not read them. */
    @ParameterizedTest
    @MethodSource("rowsWithoutRoute")
    void holdsBesidePipelinedRequestsWhoseResponsesAreNotRead(Target target, Framing framing) throws Exception {
        deploy();
        connect(target, PIPELINING_CLIENTS, framing.complete(target.path, "", 2).repeat(PIPELINED_REQUESTS));
        clients.send(LARGE_PIECE_BYTES);
        assertHolds();
    }

    /** The page of the metrics is long: few requests ask for much memory. */
    @ParameterizedTest
    @EnumSource(Framing.class)
    void holdsBesideClientsThatDoNotReadTheMetrics(Framing framing) throws Exception {
        deploy();
        awaitMetrics();
        connect(
                Target.METRICS,
                PIPELINING_CLIENTS,
                framing.complete(Target.METRICS.path, "", 2).repeat(PIPELINED_REQUESTS));
        clients.send(LARGE_PIECE_BYTES);
        assertHolds();
    }

    @ParameterizedTest
    @EnumSource(
            value = Target.class,
            names = {"ROUTE", "READINESS"})
    void holdsBesideHeadsThatStall(Target target) throws Exception {
        deploy();
        connect(target, CLIENTS, "GET " + target.path + " HTTP/1.1\r\nHost: 127.0.0.1\r\na: " + "x".repeat(15_000));
        clients.send(SMALL_PIECE_BYTES);
        assertHolds();
    }

    /** Guards against clients that take the descriptors which the store, servers and other entries need. */
    @ParameterizedTest
    @EnumSource(
            value = Target.class,
            names = {"ROUTE", "READINESS"})
    void holdsBesideManySilentConnections(Target target) throws Exception {
        deploy();
        connect(target, 4 * MAX_CONNECTIONS, "G");
        clients.send(1);
        assertHolds();
    }

    private void deploy() throws Exception {
        deployment = new GatewayDeployment(directory, 1, JVM_FLAGS, CALLER_LIMITS);
        awaitServed();
    }

    private void connect(Target target, int count, String text) throws IOException {
        clients.connect(deployment.port(0) + target.portOffset, count, text);
    }

    private void assertHolds() throws Exception {
        assertWithinBounds();
        awaitServed();
        awaitReady();
        assertWithinBounds();
        clients.close();
        awaitServed();
        awaitReady();
        assertWithinBounds();
    }

    /** Waits until an ordinary request is served; it may be refused while the entry is overloaded. */
    private void awaitServed() throws InterruptedException {
        Polling.until("a request is served", SERVED_WITHIN_MS, () -> {
            assertAlive();
            try {
                return OneRequest.post(deployment.port(0), Target.ROUTE.path).status() == 200;
            } catch (IOException e) {
                return false;
            }
        });
    }

    private void awaitReady() throws InterruptedException {
        Polling.until("the entry is ready", SERVED_WITHIN_MS, () -> {
            assertAlive();
            return deployment.ready(0);
        });
    }

    private void awaitMetrics() throws InterruptedException {
        Polling.until("metrics are recorded", SERVED_WITHIN_MS, () -> {
            OneRequest.post(deployment.port(0), Target.ROUTE.path);
            return OneRequest.get(deployment.port(0) + 1, Target.METRICS.path)
                    .text()
                    .contains("hawthornglade_call");
        });
    }

    private void assertAlive() {
        assertWithMessage("alive").that(deployment.entry(0).isAlive()).isTrue();
    }

    private void assertWithinBounds() throws IOException {
        assertAlive();
        Path process = Path.of("/proc", Long.toString(deployment.entry(0).pid()));
        long residentKb = Files.readAllLines(process.resolve("status")).stream()
                .filter(line -> line.startsWith("VmHWM:"))
                .mapToLong(line -> Long.parseLong(line.replaceAll("[^0-9]", "")))
                .findFirst()
                .orElseThrow();
        long descriptors;
        try (Stream<Path> open = Files.list(process.resolve("fd"))) {
            descriptors = open.count();
        }
        assertWithMessage("peak of the resident memory in KB").that(residentKb).isAtMost(MAX_RESIDENT_KB);
        assertThat(descriptors).isAtMost((long) MAX_CONNECTIONS + OTHER_DESCRIPTORS);
        assertThat(deployment.log(0)).doesNotContain("OutOfMemoryError");
    }
}
