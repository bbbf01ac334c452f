package org.hawthornglade.standin.http;

import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.jakarta.rs.json.JacksonJsonProvider;
import jakarta.servlet.DispatcherType;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.URI;
import java.util.EnumSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.logging.Level;
import java.util.logging.Logger;
import org.eclipse.jetty.ee10.servlet.FilterHolder;
import org.eclipse.jetty.ee10.servlet.ServletContextHandler;
import org.eclipse.jetty.ee10.servlet.ServletHolder;
import org.eclipse.jetty.http.UriCompliance;
import org.eclipse.jetty.server.HttpConfiguration;
import org.eclipse.jetty.server.HttpConnectionFactory;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.server.handler.ContextHandlerCollection;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import org.glassfish.jersey.server.ResourceConfig;
import org.glassfish.jersey.server.ServerProperties;
import org.glassfish.jersey.servlet.ServletContainer;
import org.hawthornglade.standin.time.Timers;

/** Runs all stand-ins of a process in one HTTP server, each on a separate port. */
public final class StandinServer implements AutoCloseable {
    private static final int MAX_REFUSAL_CHECKS = 10_000;
    private static final String LOOPBACK = "127.0.0.1";
    private static final int THREADS = 64;
    private static final int THREADS_PER_PORT = 2;
    private static final int IDLE_TIMEOUT_MS = 300_000;
    private static final int BACKLOG = 1_024;

    /** Jersey logs an unnecessary warning for every resource that is registered as an instance. */
    private static final Logger JERSEY_PROVIDERS = Logger.getLogger("org.glassfish.jersey.internal.inject.Providers");

    static {
        JERSEY_PROVIDERS.setLevel(Level.SEVERE);
    }

    private final Server server;
    private final Timers timers;
    private final Map<String, ServerConnector> connectors = new LinkedHashMap<>();

    /** Creates a server; {@link #start} opens its ports. */
    public StandinServer(List<StandinHost> hosts, Timers timers) {
        QueuedThreadPool threads = new QueuedThreadPool(THREADS + THREADS_PER_PORT * hosts.size());
        threads.setName("standin");
        threads.setDaemon(true);
        this.server = new Server(threads);
        this.timers = timers;
        ContextHandlerCollection contexts = new ContextHandlerCollection();
        for (StandinHost host : hosts) {
            ServerConnector connector = connector(host);
            connectors.put(host.name(), connector);
            server.addConnector(connector);
            contexts.addHandler(context(host));
        }
        server.setHandler(contexts);
    }

    private ServerConnector connector(StandinHost host) {
        HttpConfiguration configuration = new HttpConfiguration();
        configuration.setUriCompliance(UriCompliance.UNSAFE);
        configuration.setSendServerVersion(false);
        ServerConnector connector = new ServerConnector(server, 1, 1, new HttpConnectionFactory(configuration));
        connector.setName(host.name());
        connector.setHost(LOOPBACK);
        connector.setPort(host.port());
        connector.setIdleTimeout(IDLE_TIMEOUT_MS);
        connector.setAcceptQueueSize(BACKLOG);
        return connector;
    }

    private ServletContextHandler context(StandinHost host) {
        ServletContextHandler context = new ServletContextHandler("/");
        context.setVirtualHosts(List.of("@" + host.name()));
        context.getServletHandler().setDecodeAmbiguousURIs(true);
        FilterHolder filter = new FilterHolder(new FaultFilter(host.faults(), timers, host.exemptPaths()));
        filter.setAsyncSupported(true);
        context.addFilter(filter, "/*", EnumSet.of(DispatcherType.REQUEST, DispatcherType.ASYNC));
        host.servlets().forEach((path, servlet) -> context.addServlet(holder(servlet), path));
        context.addServlet(holder(new ServletContainer(resources(host))), "/*");
        return context;
    }

    private static ServletHolder holder(jakarta.servlet.Servlet servlet) {
        ServletHolder holder = new ServletHolder(servlet);
        holder.setAsyncSupported(true);
        return holder;
    }

    private static ResourceConfig resources(StandinHost host) {
        ResourceConfig config = new ResourceConfig();
        config.property(ServerProperties.WADL_FEATURE_DISABLE, true);
        config.register(new JacksonJsonProvider(JsonMapper.builder().build()));
        config.property(ServerProperties.RESPONSE_SET_STATUS_OVER_SEND_ERROR, true);
        config.register(new BadBodyMapper());
        config.register(new BadArgumentMapper());
        config.register(new FaultResource(host.faults()));
        host.resources().forEach(config::register);
        return config;
    }

    /**
     * Opens all ports.
     *
     * @throws IllegalStateException if a port is in use
     */
    public void start() {
        try {
            server.start();
        } catch (Exception e) {
            throw new IllegalStateException("the stand-in server failed to start", e);
        }
    }

    /** Returns the address of a stand-in. */
    public URI uri(String name) {
        return URI.create("http://" + LOOPBACK + ":" + port(name));
    }

    /** Returns the port that a stand-in listens on. */
    public int port(String name) {
        ServerConnector connector = connectors.get(name);
        if (connector == null) {
            throw new IllegalArgumentException("no stand-in with this name: " + name);
        }
        return connector.getPort() == 0 ? connector.getLocalPort() : connector.getPort();
    }

    /** Closes the port of a stand-in, so that connections are refused, and closes its open connections. */
    public void closePort(String name) {
        int port = port(name);
        ServerConnector connector = connectors.get(name);
        connector.setPort(port);
        try {
            connector.stop();
        } catch (Exception e) {
            throw new IllegalStateException("failed to close the port of stand-in " + name, e);
        }
        awaitRefused(port);
    }

    /** Waits until connections are refused: the kernel accepts them until the acceptor thread sees the closed port. */
    private static void awaitRefused(int port) {
        for (int attempt = 0; attempt < MAX_REFUSAL_CHECKS; attempt++) {
            try (Socket socket = new Socket()) {
                socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
            } catch (IOException refused) {
                return;
            }
        }
        throw new IllegalStateException("port " + port + " is still open");
    }

    /** Reopens the port of a stand-in. */
    public void openPort(String name) {
        try {
            connectors.get(name).start();
        } catch (Exception e) {
            throw new IllegalStateException("failed to open the port of stand-in " + name, e);
        }
    }

    @Override
    public void close() {
        try {
            server.stop();
        } catch (Exception e) {
            throw new IllegalStateException("the stand-in server failed to stop", e);
        }
    }
}
