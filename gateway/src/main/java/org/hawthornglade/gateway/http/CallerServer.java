package org.hawthornglade.gateway.http;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.net.InetSocketAddress;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Supplier;
import org.hawthornglade.core.fleet.InstanceAddress;
import org.hawthornglade.core.serving.RequestLimits;
import org.hawthornglade.core.time.Clock;
import org.hawthornglade.gateway.loop.Timers;
import org.hawthornglade.gateway.memory.BodyPressureListener;
import org.hawthornglade.gateway.memory.RequestBodyBudget;

/** Accepts connections from callers at one address. */
public final class CallerServer {
    private static final int BACKLOG = 1_024;
    /** The first read from a connection is small: most requests are. */
    private static final int FIRST_READ_BYTES = 2_048;

    private static final int MIN_READ_BYTES = 64;
    private static final long OVERDUE_CHECK_INTERVAL_MS = 100;

    private final EventLoop loop;
    private final Timers timers;
    private final Clock clock;
    private final Supplier<RequestLimits> limits;
    private final CallHandler handler;
    private final RequestBodyBudget bodies;
    private final Set<CallerConnection> connections = new HashSet<>();
    private Channel listener;
    private volatile int openCalls;
    private boolean draining;

    /** Creates a server that does not listen yet, with a budget of its own for bodies. */
    public CallerServer(
            EventLoop loop, Timers timers, Clock clock, Supplier<RequestLimits> limits, CallHandler handler) {
        this(loop, timers, clock, limits, handler, RequestBodyBudget.ofEntry(clock, BodyPressureListener.NONE));
    }

    /**
     * Creates a server that does not listen yet.
     *
     * @param limits the request limits currently in force
     * @param handler handles the calls
     * @param bodies limits the memory for the bodies of requests
     */
    public CallerServer(
            EventLoop loop,
            Timers timers,
            Clock clock,
            Supplier<RequestLimits> limits,
            CallHandler handler,
            RequestBodyBudget bodies) {
        this.loop = loop;
        this.timers = timers;
        this.clock = clock;
        this.limits = limits;
        this.handler = handler;
        this.bodies = bodies;
    }

    /**
     * Starts listening; must not be called on the event loop.
     *
     * @param address the address; the system chooses a port in place of 0
     * @return the port
     */
    public int listen(InstanceAddress address) {
        ServerBootstrap bootstrap = new ServerBootstrap()
                .group(loop, loop)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, BACKLOG)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(
                        ChannelOption.RCVBUF_ALLOCATOR,
                        new AdaptiveRecvByteBufAllocator(
                                MIN_READ_BYTES, FIRST_READ_BYTES, RequestBodyBudget.MAX_READ_BYTES))
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        CallerConnection connection = new CallerConnection(CallerServer.this);
                        channel.pipeline()
                                .addLast(
                                        new ByteActivityHandler(connection),
                                        new RequestDecoder(limits.get().maxHeaderBytes()),
                                        new ResponseEncoder(connection::method),
                                        connection);
                    }
                });
        listener = bootstrap
                .bind(address.host(), address.port())
                .syncUninterruptibly()
                .channel();
        timers.every(OVERDUE_CHECK_INTERVAL_MS, bodies::refuseOverdue);
        return ((InetSocketAddress) listener.localAddress()).getPort();
    }

    /** Closes each connection after the responses to what it has read from now on; open requests continue. */
    public void startDraining() {
        this.draining = true;
    }

    /** Stops listening and closes the connections without an open request, except newly opened ones. */
    public void close() {
        if (listener != null) {
            Channels.close(listener);
        }
        closeIdle();
    }

    /** Closes the connections without an open request, except newly opened ones. */
    public void closeIdle() {
        List.copyOf(connections).forEach(CallerConnection::closeIfIdle);
    }

    /** Returns how many requests are open; may be called on any thread. */
    public int openCalls() {
        return openCalls;
    }

    void callOpened() {
        changeOpenCalls(1);
    }

    void callClosed() {
        changeOpenCalls(-1);
    }

    /** Changes the number of open calls; called on the event loop only. */
    private void changeOpenCalls(int change) {
        int now = openCalls;
        openCalls = now + change;
    }

    boolean isDraining() {
        return draining;
    }

    RequestLimits limits() {
        return limits.get();
    }

    Timers timers() {
        return timers;
    }

    Clock clock() {
        return clock;
    }

    RequestBodyBudget bodies() {
        return bodies;
    }

    CallHandler handler() {
        return handler;
    }

    void opened(CallerConnection connection) {
        connections.add(connection);
    }

    void closed(CallerConnection connection) {
        connections.remove(connection);
    }

    /** Notifies the connection of received bytes before they are decoded. */
    private static final class ByteActivityHandler extends ChannelInboundHandlerAdapter {
        private final CallerConnection connection;

        ByteActivityHandler(CallerConnection connection) {
            this.connection = connection;
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            connection.onBytesReceived();
            context.fireChannelRead(message);
        }
    }
}
