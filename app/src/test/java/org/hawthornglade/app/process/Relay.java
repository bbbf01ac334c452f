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

/** Forwards TCP connections to a port; a test can silence or cut the open ones. */
final class Relay implements AutoCloseable {
    /** Direction of a connection in which bytes are dropped. */
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

        /** Copies bytes; a silenced direction drops them and the end of the stream without notice to either side. */
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
                // One end is broken, which is handled like the end of the stream below.
            }
            if (!isSilent(toServer)) {
                cut();
            }
        }

        private boolean isSilent(boolean toServer) {
            return toServer ? silentToServer : silentToClient;
        }

        private void silence(Direction direction) {
            silentToServer |= direction != Direction.TO_CLIENT;
            silentToClient |= direction != Direction.TO_SERVER;
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

    /** Silences the connections that are open now; new ones work. */
    void silenceOpenConnections(Direction direction) {
        connections.forEach(connection -> connection.silence(direction));
    }

    /** Cuts the connections that are open now; new ones work. */
    void cutOpenConnections() {
        connections.forEach(Connection::cut);
    }

    private void accept() {
        while (!listener.isClosed()) {
            try {
                Connection connection = new Connection(listener.accept());
                connections.add(connection);
                thread(connection::run).start();
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
            // The socket is unusable and needs no further handling.
        }
    }

    @Override
    public void close() throws IOException {
        listener.close();
        cutOpenConnections();
    }
}
