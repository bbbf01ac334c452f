package org.hawthornglade.standin;

import com.codahale.metrics.health.HealthCheck;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.List;

/** Reports healthy while every stand-in accepts connections. */
final class StandinHealthCheck extends HealthCheck {
    private static final int CONNECT_TIMEOUT_MS = 500;

    private final Standins standins;

    StandinHealthCheck(Standins standins) {
        this.standins = standins;
    }

    @Override
    protected Result check() {
        List<String> closed = standins.names().stream()
                .filter(name -> !acceptsConnections(name))
                .toList();
        return closed.isEmpty() ? Result.healthy() : Result.unhealthy("no connection to " + closed);
    }

    private boolean acceptsConnections(String name) {
        try (Socket socket = new Socket()) {
            socket.connect(
                    new InetSocketAddress(standins.uri(name).getHost(), standins.port(name)), CONNECT_TIMEOUT_MS);
            return true;
        } catch (IOException e) {
            return false;
        }
    }
}
