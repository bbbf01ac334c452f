package org.hawthornglade.app.process;

import java.io.File;
import java.io.IOException;
import java.net.URI;
import java.net.URISyntaxException;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import org.hawthornglade.core.assignment.Assignment;
import org.hawthornglade.core.assignment.AssignmentState;
import org.hawthornglade.core.config.ClassSpec;
import org.hawthornglade.core.config.Configuration;
import org.hawthornglade.core.config.ConfigurationJson;
import org.hawthornglade.core.config.ModelSpec;
import org.hawthornglade.core.config.OperationSpec;
import org.hawthornglade.core.config.OrganisationSpec;
import org.hawthornglade.core.config.ServiceSpec;
import org.hawthornglade.core.id.FailureDomain;
import org.hawthornglade.core.id.InstanceId;
import org.hawthornglade.core.id.ModelName;
import org.hawthornglade.core.id.OrganisationId;
import org.hawthornglade.core.id.ServiceClass;
import org.hawthornglade.core.id.ServiceName;
import org.hawthornglade.core.instance.InstanceInfo;
import org.hawthornglade.core.instance.InstanceRole;
import org.hawthornglade.core.instance.InstanceState;
import org.hawthornglade.ports.configuration.ConfigurationStore;
import org.hawthornglade.ports.http.PlatformJson;
import org.hawthornglade.ports.table.Transaction;
import org.hawthornglade.ports.table.Write;
import org.hawthornglade.standin.Standins;
import org.hawthornglade.standin.StandinsSettings;
import org.junit.jupiter.api.TestInfo;

/**
 * A deployment on loopback: entries and agents as processes, the platform and endpoints as stand-ins in the test JVM.
 *
 * <p>Entries reach each agent through relays, so that a test can cut or silence connections. Model {@code guide}
 * is assigned to both engines, {@code quick} to the first.
 */
final class Deployment implements AutoCloseable {
    static final ModelName GUIDE = ModelName.of("guide");
    static final ModelName QUICK = ModelName.of("quick");
    static final InstanceId ENGINE_1 = InstanceId.of("engine-1");
    static final InstanceId ENGINE_2 = InstanceId.of("engine-2");
    static final InstanceId ORDERS_1 = InstanceId.of("orders-1");

    private static final int MODEL_MB = 1_000;
    private static final int KV_CACHE_MB = 100;
    private static final int ENGINE_MB = 4_000;
    private static final long START_TIMEOUT_MS = 60_000;

    /** An agent and the relays in front of its data and control ports. */
    record AgentNode(NodeProcess process, Relay dataRelay, Relay controlRelay) {}

    private final Path logs;
    private final Standins standins;
    private final Map<InstanceId, AgentNode> agents = new LinkedHashMap<>();
    private final List<NodeProcess> entries = new ArrayList<>();
    private final List<URI> entryUris = new ArrayList<>();

    /**
     * Starts all processes and waits until the entries are ready.
     *
     * @param logs the directory for the output of the processes
     * @param engineSettings JSON members added to the settings of both engines
     * @param orderDelayMs how long the plain service takes for a call, in milliseconds
     * @param entryCount number of entries
     */
    Deployment(Path logs, String engineSettings, int orderDelayMs, int entryCount)
            throws IOException, InterruptedException {
        this.logs = logs;
        this.standins = Standins.start(StandinsSettings.parse(settings(engineSettings, orderDelayMs)));
        confirmConfiguration();
        startAgent("agent", ENGINE_1, InstanceRole.ENGINE);
        startAgent("agent", ENGINE_2, InstanceRole.ENGINE);
        startAgent("service-agent", ORDERS_1, InstanceRole.SERVICE);
        for (int i = 1; i <= entryCount; i++) {
            startEntry("entry-" + i);
        }
        for (URI entry : entryUris) {
            awaitReady(entry);
        }
    }

    private static String settings(String engineSettings, int orderDelayMs) {
        String engine = "\", \"naturalTokens\": 1000, \"memoryMb\": " + ENGINE_MB + ", " + engineSettings + "}";
        return "{\"servers\": [{\"kind\": \"table\", \"name\": \"table\"},"
                + " {\"kind\": \"instances\", \"name\": \"list\"},"
                + "{\"kind\": \"engine\", \"name\": \"engine-1" + engine + ","
                + "{\"kind\": \"engine\", \"name\": \"engine-2" + engine + ","
                + "{\"kind\": \"service\", \"name\": \"orders-1\", \"delayMs\": " + orderDelayMs + "}]}";
    }

    private void confirmConfiguration() {
        OrganisationId mill = OrganisationId.of("mill");
        ServiceClass interactive = ServiceClass.of("interactive");
        Configuration configuration = new Configuration(
                1,
                "north",
                "plan-1",
                1,
                List.of(new OrganisationSpec(mill, 1, 100)),
                List.of(new ClassSpec(interactive, 1, 30_000, 100)),
                List.of(model(GUIDE, 2, mill, interactive), model(QUICK, 1, mill, interactive)),
                List.of(),
                List.of(new ServiceSpec(
                        ServiceName.of("orders"),
                        List.of(new OperationSpec("POST", "/confirmations", false)),
                        100,
                        List.of(mill),
                        interactive)),
                null);
        List<Write> writes = new ArrayList<>();
        writes.add(Write.put(ConfigurationStore.TABLE, "snapshot/1", ConfigurationJson.write(configuration)));
        writes.add(Write.put(ConfigurationStore.TABLE, "head", "{\"version\":1}"));
        writes.add(row(GUIDE, 0, ENGINE_1));
        writes.add(row(GUIDE, 1, ENGINE_2));
        writes.add(row(QUICK, 0, ENGINE_1));
        standins.table("table").transact(new Transaction(List.of(), writes)).get();
    }

    private static ModelSpec model(ModelName name, int replicas, OrganisationId mill, ServiceClass interactive) {
        return new ModelSpec(name, "v1", MODEL_MB, KV_CACHE_MB, 1, replicas, 32, List.of(mill), interactive);
    }

    private static Write row(ModelName model, int ordinal, InstanceId instance) {
        Assignment assignment = new Assignment(model, ordinal, instance, AssignmentState.HELD, 1);
        return Write.put(Assignment.TABLE, assignment.key(), PlatformJson.write(assignment));
    }

    private void startAgent(String settings, InstanceId id, InstanceRole role) throws IOException {
        int httpPort = Ports.freePort();
        int controlPort = Ports.freePort();
        Map<String, String> environment = environment(id.value(), httpPort);
        environment.put("HG_CONTROL_PORT", Integer.toString(controlPort));
        environment.put("HG_ENDPOINT", standins.uri(id.value()).toString());
        NodeProcess process = new NodeProcess("agent", resource(settings), environment, log(id.value()));
        AgentNode node = new AgentNode(process, new Relay(httpPort), new Relay(controlPort));
        agents.put(id, node);
        boolean engine = role == InstanceRole.ENGINE;
        standins.instances("list")
                .put(new InstanceInfo(
                        id,
                        role,
                        engine ? null : ServiceName.of("orders"),
                        FailureDomain.of("domain-a"),
                        "127.0.0.1",
                        node.dataRelay().port(),
                        node.controlRelay().port(),
                        engine ? ENGINE_MB : 0,
                        engine ? 1 : 0,
                        InstanceState.LIVE));
    }

    private void startEntry(String name) throws IOException {
        int httpPort = Ports.freePort();
        entries.add(new NodeProcess("entry", resource("entry"), environment(name, httpPort), log(name)));
        entryUris.add(URI.create("http://127.0.0.1:" + httpPort));
        standins.instances("list")
                .put(new InstanceInfo(
                        InstanceId.of(name),
                        InstanceRole.ENTRY,
                        null,
                        FailureDomain.of("domain-a"),
                        "127.0.0.1",
                        httpPort,
                        0,
                        0,
                        0,
                        InstanceState.LIVE));
    }

    private Map<String, String> environment(String name, int httpPort) {
        Map<String, String> environment = new LinkedHashMap<>();
        environment.put("HG_NAME", name);
        environment.put("HG_HTTP_PORT", Integer.toString(httpPort));
        environment.put("HG_TABLE", standins.uri("table").toString());
        environment.put("HG_INSTANCES", standins.uri("list").toString());
        return environment;
    }

    private File log(String name) {
        return logs.resolve(name + ".log").toFile();
    }

    private static Path resource(String name) {
        try {
            return Path.of(Objects.requireNonNull(Deployment.class.getResource("/process/" + name + ".json"))
                    .toURI());
        } catch (URISyntaxException e) {
            throw new AssertionError(e);
        }
    }

    private static void awaitReady(URI entry) throws InterruptedException {
        HttpRequest request =
                HttpRequest.newBuilder(URI.create(entry + "/admin/healthcheck")).build();
        HttpClient client = HttpClient.newHttpClient();
        Polling.until("the entry is ready", START_TIMEOUT_MS, () -> {
            try {
                return client.send(request, HttpResponse.BodyHandlers.discarding())
                                .statusCode()
                        == 200;
            } catch (IOException e) {
                return false;
            }
        });
    }

    /** Creates the directory for the process output of a test; it is kept for the analysis of failures. */
    static Path createLogDirectory(TestInfo info) throws IOException {
        String test = info.getTestClass().orElseThrow().getSimpleName() + "-" + info.getDisplayName();
        return Files.createDirectories(Path.of("target", "process-logs", test.replaceAll("[^A-Za-z0-9-]+", "_")));
    }

    Standins standins() {
        return standins;
    }

    AgentNode agent(InstanceId id) {
        return agents.get(id);
    }

    NodeProcess entry(int index) {
        return entries.get(index);
    }

    URI entryUri(int index) {
        return entryUris.get(index);
    }

    @Override
    public void close() throws IOException, InterruptedException {
        for (NodeProcess entry : entries) {
            entry.close();
        }
        for (AgentNode node : agents.values()) {
            node.process().close();
            node.dataRelay().close();
            node.controlRelay().close();
        }
        standins.close();
    }
}
