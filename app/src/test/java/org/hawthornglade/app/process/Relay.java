package org.hawthornglade.app.process;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/** Passes TCP connections on to a port, until told to let open ones go silent or to cut them. */
final class Relay implements AutoCloseable {
    /** Which way of a connection loses its bytes. */
    enum Direction {
        TO_SERVER,
        TO_CLIENT,
        BOTH
    }

    private static final int BUFFER_BYTES = 16 * 1024;
    private static final int CONNECT_TIMEOUT_MS = 2_000;
    private static final int BACKLOG = 512;

    private final class Connection {
        private final Socket client;
        private final Socket server = new Socket();
        private volatile boolean silentToServer;
        private volatile boolean silentToClient;

        private Connection(Socket client) {
            this.client = client;
        }

        private void run() {
            try {
                server.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), targetPort), CONNECT_TIMEOUT_MS);
                client.setTcpNoDelay(true);
                server.setTcpNoDelay(true);
            } catch (IOException e) {
                cut();
                return;
            }
            thread(() -> pump(client, server, true)).start();
            pump(server, client, false);
        }

        /** Bytes of a silent way are lost, and so is its end; neither side hears of it. */
        private void pump(Socket from, Socket to, boolean toServer) {
            byte[] buffer = new byte[BUFFER_BYTES];
            try {
                InputStream in = from.getInputStream();
                OutputStream out = to.getOutputStream();
                for (int read = in.read(buffer); read >= 0; read = in.read(buffer)) {
                    if (!isSilent(toServer)) {
                        out.write(buffer, 0, read);
                    }
                }
            } catch (IOException e) {
                // an end broke; told on below
            }
            if (!isSilent(toServer)) {
                cut();
            }
        }

        private boolean isSilent(boolean toServer) {
            return toServer ? silentToServer : silentToClient;
        }

        private void silence(Direction way) {
            silentToServer |= way != Direction.TO_CLIENT;
            silentToClient |= way != Direction.TO_SERVER;
        }

        private void cut() {
            connections.remove(this);
            closeQuietly(client);
            closeQuietly(server);
        }
    }

    private final ServerSocket listener;
    private final int targetPort;
    private final List<Connection> connections = new CopyOnWriteArrayList<>();

    Relay(int targetPort) throws IOException {
        this.targetPort = targetPort;
        this.listener = new ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress());
        thread(this::accept).start();
    }

    int port() {
        return listener.getLocalPort();
    }

    /** Lets the connections that are open now go silent; new ones work. */
    void silenceOpenConnections(Direction way) {
        connections.forEach(link -> link.silence(way));
    }

    /** Cuts the connections that are open now; new ones work. */
    void cutOpenConnections() {
        connections.forEach(Connection::cut);
    }

    private void accept() {
        while (!listener.isClosed()) {
            try {
                Connection link = new Connection(listener.accept());
                connections.add(link);
                thread(link::run).start();
            } catch (IOException e) {
                return;
            }
        }
    }

    private static Thread thread(Runnable action) {
        Thread thread = new Thread(action, "relay");
        thread.setDaemon(true);
        return thread;
    }

    private static void closeQuietly(Socket socket) {
        try {
            socket.close();
        } catch (IOException e) {
            // nothing is left to close
        }
    }

    @Override
    public void close() throws IOException {
        listener.close();
        cutOpenConnections();
    }
}
