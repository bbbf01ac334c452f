package org.hawthornglade.app.process;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;

/** Clients that send on many connections at once, and read no response unless told to. */
final class MisbehavingClients implements AutoCloseable {
    /** Sending ends when no connection has accepted a byte for this time. */
    private static final long NO_PROGRESS_MS = 1_000;
    /** Limit for all sending. */
    private static final long MAX_SENDING_MS = 15_000;

    private static final int RECEIVE_BUFFER_BYTES = 4_096;

    private final List<SocketChannel> channels = new ArrayList<>();
    private final List<ByteBuffer> unsent = new ArrayList<>();

    /**
     * Opens connections.
     *
     * @param text what each of them will send
     */
    void connect(int port, int count, String text) throws IOException {
        ByteBuffer bytes = ByteBuffer.wrap(text.getBytes(StandardCharsets.US_ASCII));
        for (int i = 0; i < count; i++) {
            SocketChannel channel = SocketChannel.open();
            channels.add(channel);
            unsent.add(bytes.duplicate());
            // A small buffer, so that unread responses soon fill it.
            channel.socket().setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
            channel.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
            channel.configureBlocking(false);
        }
    }

    /**
     * Sends on all connections in turns, until all is sent or no connection accepts any more.
     *
     * @param pieceBytes how much is sent on a connection in its turn
     */
    void send(int pieceBytes) {
        long startNanos = System.nanoTime();
        long progressNanos = startNanos;
        while (System.nanoTime() - progressNanos < TimeUnit.MILLISECONDS.toNanos(NO_PROGRESS_MS)
                && System.nanoTime() - startNanos < TimeUnit.MILLISECONDS.toNanos(MAX_SENDING_MS)
                && unsent.stream().anyMatch(ByteBuffer::hasRemaining)) {
            long sentBytes = 0;
            for (int i = 0; i < channels.size(); i++) {
                sentBytes += sendPiece(channels.get(i), unsent.get(i), pieceBytes);
            }
            if (sentBytes > 0) {
                progressNanos = System.nanoTime();
            } else {
                LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(5));
            }
        }
    }

    private static int sendPiece(SocketChannel channel, ByteBuffer rest, int pieceBytes) {
        if (!rest.hasRemaining()) {
            return 0;
        }
        ByteBuffer piece = rest.slice(rest.position(), Math.min(pieceBytes, rest.remaining()));
        try {
            int sentBytes = channel.write(piece);
            rest.position(rest.position() + sentBytes);
            return sentBytes;
        } catch (IOException e) {
            // The process has closed the connection.
            rest.position(rest.limit());
            return 0;
        }
    }

    @Override
    public void close() throws IOException {
        for (SocketChannel channel : channels) {
            channel.close();
        }
    }
}
