package org.hawthornglade.gateway.http;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.ConnectTimeoutException;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioChannelOption;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.HttpRequestEncoder;
import java.net.ConnectException;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Predicate;
import jdk.net.ExtendedSocketOptions;
import org.hawthornglade.core.fleet.InstanceAddress;
import org.hawthornglade.core.time.Clock;

/**
 * Pools the connections to one address; used on the event loop only.
 *
 * <p>An idle connection that is not suitable for a request is replaced, so that the pool grows with the number of
 * requests that are open at once only. Without this, callers that use one id for many requests have left 1,000 idle
 * connections, and their descriptors, behind within 2 s.
 *
 * <p>TCP keep-alive detects dead connections within {@link #KEEP_ALIVE_IDLE_S} plus {@link #KEEP_ALIVE_PROBES} seconds.
 */
public final class ConnectionPool {
    private static final int KEEP_ALIVE_IDLE_S = 1;
    private static final int KEEP_ALIVE_INTERVAL_S = 1;
    private static final int KEEP_ALIVE_PROBES = 2;
    /** Idle limit of a connection whose peer has not stated its own limit. */
    private static final long DEFAULT_IDLE_LIMIT_MS = 4_000;
    /** Share of the idle limit after which a connection is no longer reused. */
    private static final double MAX_IDLE_SHARE = 0.8;
    /** The same share for a request that must not be sent again. */
    private static final double MAX_IDLE_SHARE_SEND_ONCE = 0.5;

    private final EventLoop loop;
    private final Clock clock;
    private final InstanceAddress address;
    private final int connectTimeoutMs;
    private final UnexpectedResponseListener unexpectedResponses;
    private final Deque<OutboundConnection> idle = new ArrayDeque<>();
    private final Set<OutboundConnection> open = new HashSet<>();

    /** Creates an empty pool that reports no unexpected responses. */
    public ConnectionPool(EventLoop loop, Clock clock, InstanceAddress address, int connectTimeoutMs) {
        this(loop, clock, address, connectTimeoutMs, UnexpectedResponseListener.NONE);
    }

    /**
     * Creates an empty pool.
     *
     * @param connectTimeoutMs the timeout for opening a connection
     * @param unexpectedResponses receives the responses that do not belong to the open request of a connection
     */
    public ConnectionPool(
            EventLoop loop,
            Clock clock,
            InstanceAddress address,
            int connectTimeoutMs,
            UnexpectedResponseListener unexpectedResponses) {
        this.loop = loop;
        this.clock = clock;
        this.address = address;
        this.connectTimeoutMs = connectTimeoutMs;
        this.unexpectedResponses = unexpectedResponses;
    }

    /**
     * Acquires a connection, an idle one if there is a suitable one.
     *
     * @param sendOnce whether the request must not be sent again if the connection turns out to be dead
     * @param suitable which idle connections may carry the request
     * @param ready receives the connection
     * @param failed receives the cause if no connection could be made; nothing was sent in this case
     */
    public void acquire(
            boolean sendOnce,
            Predicate<OutboundConnection> suitable,
            Consumer<OutboundConnection> ready,
            Consumer<Throwable> failed) {
        OutboundConnection reused = pollIdle(sendOnce ? MAX_IDLE_SHARE_SEND_ONCE : MAX_IDLE_SHARE, suitable);
        if (reused != null) {
            ready.accept(reused);
            return;
        }
        connect(ready, failed);
    }

    private OutboundConnection pollIdle(double shareOfLimit, Predicate<OutboundConnection> suitable) {
        long nowMs = clock.nowMs();
        OutboundConnection longestIdle = null;
        for (OutboundConnection connection : List.copyOf(idle)) {
            if (!connection.isOpen() || connection.idleTooLong(nowMs, shareOfLimit)) {
                idle.remove(connection);
                connection.close();
            } else if (suitable.test(connection)) {
                idle.remove(connection);
                return connection;
            } else {
                longestIdle = connection;
            }
        }
        if (longestIdle != null) {
            idle.remove(longestIdle);
            longestIdle.close();
        }
        return null;
    }

    private void connect(Consumer<OutboundConnection> ready, Consumer<Throwable> failed) {
        SentRequests sentRequests = new SentRequests();
        ResponseDecoder decoder = new ResponseDecoder(sentRequests);
        OutboundConnection connection = new OutboundConnection(this, sentRequests, decoder);
        connection.setIdleLimit(DEFAULT_IDLE_LIMIT_MS);
        Bootstrap bootstrap = new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, connectTimeoutMs)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.SO_KEEPALIVE, true)
                .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPIDLE), KEEP_ALIVE_IDLE_S)
                .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPINTERVAL), KEEP_ALIVE_INTERVAL_S)
                .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPCOUNT), KEEP_ALIVE_PROBES)
                .handler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        channel.pipeline()
                                .addLast(
                                        new HttpRequestEncoder(),
                                        new UndecodedBytesLimit(connection),
                                        decoder,
                                        connection);
                    }
                });
        ChannelFuture future = bootstrap.connect(address.host(), address.port());
        future.addListener(done -> {
            if (done.isSuccess()) {
                open.add(connection);
                ready.accept(connection);
            } else {
                failed.accept(done.cause());
            }
        });
    }

    /**
     * Opens a connection to find out whether the peer accepts any; it becomes idle.
     *
     * @param result receives false if the peer has refused the connection; a timeout says nothing of the peer
     */
    public void checkAccepting(Consumer<Boolean> result) {
        connect(
                connection -> {
                    release(connection);
                    result.accept(true);
                },
                cause -> result.accept(!refused(cause)));
    }

    private static boolean refused(Throwable cause) {
        return cause instanceof ConnectException && !(cause instanceof ConnectTimeoutException);
    }

    void release(OutboundConnection connection) {
        connection.markIdle(clock.nowMs());
        idle.addFirst(connection);
    }

    void onUnexpectedResponse(UnexpectedResponse response) {
        unexpectedResponses.onUnexpectedResponse(address, response);
    }

    void closed(OutboundConnection connection) {
        open.remove(connection);
        idle.remove(connection);
    }

    /** Closes the idle connections. */
    public void closeIdle() {
        List.copyOf(idle).forEach(OutboundConnection::close);
        idle.clear();
    }

    /** Returns the number of open connections. */
    public int openConnections() {
        return open.size();
    }
}
