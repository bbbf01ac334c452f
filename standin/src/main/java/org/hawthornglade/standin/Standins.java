package org.hawthornglade.standin;

import java.net.URI;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.hawthornglade.standin.engine.EngineResource;
import org.hawthornglade.standin.engine.EngineSettings;
import org.hawthornglade.standin.engine.InMemoryEngine;
import org.hawthornglade.standin.engine.InferenceServlet;
import org.hawthornglade.standin.engine.ReplicaCounter;
import org.hawthornglade.standin.fault.FaultInjector;
import org.hawthornglade.standin.http.StandinHost;
import org.hawthornglade.standin.http.StandinServer;
import org.hawthornglade.standin.instance.InMemoryInstanceList;
import org.hawthornglade.standin.instance.InstanceListSettings;
import org.hawthornglade.standin.instance.InstanceResource;
import org.hawthornglade.standin.service.ExecutionLog;
import org.hawthornglade.standin.service.PlainServiceResource;
import org.hawthornglade.standin.service.PlainServiceSettings;
import org.hawthornglade.standin.table.InMemoryTableService;
import org.hawthornglade.standin.table.TableResource;
import org.hawthornglade.standin.table.TableSettings;
import org.hawthornglade.standin.time.SystemTimers;
import org.hawthornglade.standin.time.Timers;
import org.hawthornglade.standin.weight.FaultyWeightStore;
import org.hawthornglade.standin.weight.HttpWeightStore;
import org.hawthornglade.standin.weight.InMemoryWeightStore;
import org.hawthornglade.standin.weight.WeightResource;
import org.hawthornglade.standin.weight.WeightStore;
import org.hawthornglade.standin.weight.WeightStoreSettings;

/** Runs the stand-ins of one process on loopback ports, and gives tests access to their state. */
public final class Standins implements AutoCloseable {
    private static final String SCHEME_SEPARATOR = "://";
    private static final String FAULTS_PATH = "/faults";

    private final Timers timers;
    private final ReplicaCounter replicaCounter = new ReplicaCounter();
    private final Map<String, FaultInjector> faults = new LinkedHashMap<>();
    private final Map<String, Object> states = new LinkedHashMap<>();
    private final List<HttpWeightStore> clients = new ArrayList<>();
    private final StandinServer server;

    private Standins(StandinsSettings settings, Timers timers) {
        this.timers = timers;
        for (StandinSettings standin : settings.servers()) {
            faults.put(standin.name(), new FaultInjector(standin.faults()));
        }
        settings.servers().stream()
                .filter(WeightStoreSettings.class::isInstance)
                .forEach(standin -> states.put(standin.name(), weightStore((WeightStoreSettings) standin)));
        List<StandinHost> hosts = settings.servers().stream().map(this::host).toList();
        this.server = new StandinServer(hosts, timers);
    }

    /** Starts stand-ins with the system clock. */
    public static Standins start(StandinsSettings settings) {
        return start(settings, new SystemTimers());
    }

    /** Starts stand-ins with the given timers, which this object closes. */
    public static Standins start(StandinsSettings settings, Timers timers) {
        Standins standins = new Standins(settings, timers);
        standins.server.start();
        return standins;
    }

    private InMemoryWeightStore weightStore(WeightStoreSettings settings) {
        return new InMemoryWeightStore(settings, faults(settings.name()), timers);
    }

    private StandinHost host(StandinSettings settings) {
        if (settings instanceof TableSettings table) {
            return tableHost(table);
        }
        if (settings instanceof InstanceListSettings list) {
            return instanceHost(list);
        }
        if (settings instanceof WeightStoreSettings store) {
            return host(store, List.of(new WeightResource(weights(store.name()))), Set.of());
        }
        if (settings instanceof EngineSettings engine) {
            return engineHost(engine);
        }
        if (settings instanceof PlainServiceSettings service) {
            return serviceHost(service);
        }
        throw new IllegalArgumentException("unknown kind of stand-in: " + settings);
    }

    private StandinHost tableHost(TableSettings settings) {
        InMemoryTableService tables = new InMemoryTableService(settings, timers.clock());
        states.put(settings.name(), tables);
        return host(settings, List.of(new TableResource(tables)), Set.of("/tables/calls"));
    }

    private StandinHost instanceHost(InstanceListSettings settings) {
        InMemoryInstanceList list = new InMemoryInstanceList(settings, timers);
        states.put(settings.name(), list);
        return host(settings, List.of(new InstanceResource(list)), Set.of());
    }

    private StandinHost serviceHost(PlainServiceSettings settings) {
        ExecutionLog log = new ExecutionLog(timers.clock());
        states.put(settings.name(), log);
        return host(settings, List.of(new PlainServiceResource(settings, log, timers)), Set.of("/executions"));
    }

    private StandinHost engineHost(EngineSettings settings) {
        FaultInjector injector = faults(settings.name());
        InMemoryEngine engine =
                new InMemoryEngine(settings, injector, timers, storeOf(settings.weightStore()), replicaCounter);
        states.put(settings.name(), engine);
        return new StandinHost(
                settings.name(),
                settings.port(),
                injector,
                List.of(new EngineResource(engine, replicaCounter)),
                Map.of("/v1/*", new InferenceServlet(engine, injector)),
                Set.of(FAULTS_PATH, "/engine/violations", "/engine/held", "/engine/models", "/engine/restart"));
    }

    private WeightStore storeOf(String nameOrUri) {
        if (nameOrUri == null) {
            return null;
        }
        if (!nameOrUri.contains(SCHEME_SEPARATOR)) {
            return new FaultyWeightStore(weights(nameOrUri), faults(nameOrUri));
        }
        HttpWeightStore client = new HttpWeightStore(URI.create(nameOrUri));
        clients.add(client);
        return client;
    }

    private StandinHost host(StandinSettings settings, List<Object> resources, Set<String> exemptPaths) {
        Set<String> exempt = new java.util.HashSet<>(exemptPaths);
        exempt.add(FAULTS_PATH);
        return new StandinHost(
                settings.name(), settings.port(), faults(settings.name()), resources, Map.of(), Set.copyOf(exempt));
    }

    /** Returns the names of all stand-ins. */
    public List<String> names() {
        return List.copyOf(faults.keySet());
    }

    /** Returns the address of a stand-in. */
    public URI uri(String name) {
        return server.uri(name);
    }

    /** Returns the port of a stand-in. */
    public int port(String name) {
        return server.port(name);
    }

    /** Closes the port of a stand-in, so that connections are refused, and closes its open connections. */
    public void closePort(String name) {
        server.closePort(name);
    }

    /** Reopens a closed port. */
    public void openPort(String name) {
        server.openPort(name);
    }

    /** Returns the fault injector of a stand-in. */
    public FaultInjector faults(String name) {
        FaultInjector injector = faults.get(name);
        if (injector == null) {
            throw new IllegalArgumentException("no stand-in with this name: " + name);
        }
        return injector;
    }

    /** Returns the state of a table service. */
    public InMemoryTableService table(String name) {
        return state(name, InMemoryTableService.class);
    }

    /** Returns the state of an instance list. */
    public InMemoryInstanceList instances(String name) {
        return state(name, InMemoryInstanceList.class);
    }

    /** Returns the state of a weight store. */
    public InMemoryWeightStore weights(String name) {
        return state(name, InMemoryWeightStore.class);
    }

    /** Returns the state of an engine. */
    public InMemoryEngine engine(String name) {
        return state(name, InMemoryEngine.class);
    }

    /** Returns the log of the calls that a plain service has executed. */
    public ExecutionLog service(String name) {
        return state(name, ExecutionLog.class);
    }

    /** Returns the counter of the replicas of each model over all engines. */
    public ReplicaCounter replicaCounter() {
        return replicaCounter;
    }

    private <T> T state(String name, Class<T> type) {
        Object state = states.get(name);
        if (!type.isInstance(state)) {
            throw new IllegalArgumentException("no " + type.getSimpleName() + " with this name: " + name);
        }
        return type.cast(state);
    }

    /** Stops the server and discards unfinished work. */
    @Override
    public void close() {
        server.close();
        timers.close();
        clients.forEach(HttpWeightStore::close);
    }
}
