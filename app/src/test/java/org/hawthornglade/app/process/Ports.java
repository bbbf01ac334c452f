package org.hawthornglade.app.process;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.concurrent.atomic.AtomicInteger;

/** Allocates ports below the ephemeral range, so that no other process takes one before the test process binds it. */
public final class Ports {
    private static final int FIRST_PORT = 20_000;
    private static final int PORT_COUNT = 10_000;
    private static final int STEP_PER_PROCESS = 40;
    private static final AtomicInteger NEXT =
            new AtomicInteger((int) (ProcessHandle.current().pid() * STEP_PER_PROCESS % PORT_COUNT));

    private Ports() {}

    static int freePort() {
        for (int i = 0; i < PORT_COUNT; i++) {
            int port = FIRST_PORT + NEXT.getAndIncrement() % PORT_COUNT;
            if (isFree(port)) {
                return port;
            }
        }
        throw new AssertionError("no free port from " + FIRST_PORT + " to " + (FIRST_PORT + PORT_COUNT - 1));
    }

    /** Returns the first port of a range of {@code count} consecutive free ports. */
    public static int freeRange(int count) {
        for (int i = 0; i < PORT_COUNT; i += count) {
            int first = FIRST_PORT + NEXT.getAndAdd(count) % PORT_COUNT;
            if (allFree(first, count)) {
                return first;
            }
        }
        throw new AssertionError("no " + count + " consecutive free ports");
    }

    private static boolean allFree(int first, int count) {
        for (int port = first; port < first + count; port++) {
            if (!isFree(port)) {
                return false;
            }
        }
        return true;
    }

    private static boolean isFree(int port) {
        try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
            return socket.isBound();
        } catch (IOException e) {
            return false;
        }
    }
}
