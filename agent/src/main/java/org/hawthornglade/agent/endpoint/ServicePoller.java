package org.hawthornglade.agent.endpoint;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.URI;
import java.util.function.Consumer;
import org.hawthornglade.core.agent.AgentEvent;

/** Checks whether a plain service accepts connections, so that the service needs no health route. */
public final class ServicePoller implements EndpointPoller {
    private static final int CONNECT_TIMEOUT_MS = 500;

    private final URI endpoint;
    private final Consumer<AgentEvent> events;

    /** Creates a poller. */
    public ServicePoller(URI endpoint, Consumer<AgentEvent> events) {
        this.endpoint = endpoint;
        this.events = events;
    }

    @Override
    public void poll() {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(endpoint.getHost(), endpoint.getPort()), CONNECT_TIMEOUT_MS);
            events.accept(new AgentEvent.EndpointFound());
        } catch (IOException e) {
            events.accept(new AgentEvent.EndpointLost());
        }
    }
}
