package org.hawthornglade.core.fleet;

/**
 * The address on which an instance listens.
 *
 * @param host an IP address
 * @param port the TCP port
 */
public record InstanceAddress(String host, int port) {
    /**
     * Parses {@code HOST:PORT}.
     *
     * @throws IllegalArgumentException if the text has another form or the port is out of range
     */
    public static InstanceAddress parse(String text) {
        int colon = text.lastIndexOf(':');
        if (colon <= 0) {
            throw new IllegalArgumentException("not an address: " + text);
        }
        int port = Integer.parseInt(text.substring(colon + 1));
        if (port <= 0 || port > 65_535) {
            throw new IllegalArgumentException("not a port: " + text);
        }
        return new InstanceAddress(text.substring(0, colon), port);
    }

    @Override
    public String toString() {
        return host + ":" + port;
    }
}
