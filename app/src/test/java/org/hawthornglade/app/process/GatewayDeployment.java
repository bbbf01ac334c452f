package org.hawthornglade.app.process;

import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.hawthornglade.core.time.Clock;
import org.hawthornglade.gateway.log.EventLog;
import org.hawthornglade.gateway.loop.Timers;
import org.hawthornglade.platform.SettingsFile;
import org.hawthornglade.platform.standin.StandinPlatform;

/** Gateway processes, two unless stated otherwise, that use a stand-in platform in the test JVM. */
final class GatewayDeployment implements AutoCloseable {
    private static final int DEFAULT_ENTRIES = 2;
    private static final int PORTS_PER_ENTRY = 10;
    private static final Duration CALL_TIMEOUT = Duration.ofSeconds(30);
    private static final long WAIT_TIMEOUT_MS = 60_000;

    private final NioEventLoopGroup group = new NioEventLoopGroup(1);
    private final StandinPlatform standin;
    private final List<NodeProcess> entries = new ArrayList<>();
    private final List<Path> logs = new ArrayList<>();
    private final List<Path> settings = new ArrayList<>();
    private final int firstPort;
    private final int storePort;

    GatewayDeployment(Path directory) throws IOException, InterruptedException {
        this(directory, DEFAULT_ENTRIES, NodeProcess.JVM_FLAGS, "{}");
    }

    /**
     * Starts the processes and waits until they are ready.
     *
     * @param jvmFlags the flags of their JVMs
     * @param callerLimits the limits for callers' connections in their settings, as JSON
     */
    GatewayDeployment(Path directory, int entryCount, List<String> jvmFlags, String callerLimits)
            throws IOException, InterruptedException {
        firstPort = Ports.freeRange(entryCount * PORTS_PER_ENTRY + 3);
        storePort = firstPort + entryCount * PORTS_PER_ENTRY;
        EventLoop loop = group.next();
        Clock clock = Clock.system();
        standin = new StandinPlatform(loop, new Timers(loop, new EventLog(clock, System.out)), clock, storePort);
        standin.start();
        for (int entry = 0; entry < entryCount; entry++) {
            settings.add(directory.resolve("settings-" + entry + ".json"));
            logs.add(directory.resolve("entry-" + entry + ".log"));
            String text = StandinPlatform.settings(port(entry), storePort);
            String limited = text.substring(0, text.lastIndexOf('}')) + ", \"callerLimits\": " + callerLimits + "}";
            Files.writeString(settings.get(entry), limited);
            entries.add(new NodeProcess(
                    jvmFlags,
                    List.of("gateway"),
                    Map.of(SettingsFile.PATH_VARIABLE, settings.get(entry).toString()),
                    logs.get(entry).toFile()));
        }
        for (int entry = 0; entry < entryCount; entry++) {
            awaitReady(entry);
        }
    }

    /** Returns the port for callers; the readiness address has the next one. */
    int port(int entry) {
        return firstPort + entry * PORTS_PER_ENTRY;
    }

    NodeProcess entry(int entry) {
        return entries.get(entry);
    }

    Path settings(int entry) {
        return settings.get(entry);
    }

    StandinPlatform standin() {
        return standin;
    }

    String log(int entry) throws IOException {
        return Files.readString(logs.get(entry));
    }

    void awaitLogText(int entry, String text) throws InterruptedException {
        Polling.until(
                text + " at entry " + entry, WAIT_TIMEOUT_MS, () -> log(entry).contains(text));
    }

    void awaitReady(int entry) throws InterruptedException {
        Polling.until("entry " + entry + " is ready", WAIT_TIMEOUT_MS, () -> ready(entry));
    }

    /** Returns whether the entry is ready; asks on a new connection, which is closed after the response. */
    boolean ready(int entry) throws InterruptedException {
        try {
            return OneRequest.get(port(entry) + 1, StandinPlatform.READINESS_PATH)
                            .status()
                    == 200;
        } catch (IOException e) {
            return false;
        }
    }

    /** Returns whether the entry accepts a connection from a caller. */
    boolean accepts(int entry) {
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port(entry))) {
            return socket.isConnected();
        } catch (IOException e) {
            return false;
        }
    }

    /** Makes a call on a new connection and returns the status. */
    int call(int entry, String path, String id, String model) throws IOException, InterruptedException {
        return get(HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port(entry) + path))
                .headers(StandinPlatform.requestHeaders(id, model))
                .POST(HttpRequest.BodyPublishers.ofString("{}")));
    }

    private static int get(HttpRequest.Builder request) throws IOException, InterruptedException {
        return HttpClient.newBuilder()
                .version(HttpClient.Version.HTTP_1_1)
                .build()
                .send(request.timeout(CALL_TIMEOUT).build(), HttpResponse.BodyHandlers.ofString())
                .statusCode();
    }

    @Override
    public void close() throws InterruptedException {
        for (NodeProcess entry : entries) {
            entry.close();
        }
        group.shutdownGracefully().awaitUninterruptibly();
    }
}
