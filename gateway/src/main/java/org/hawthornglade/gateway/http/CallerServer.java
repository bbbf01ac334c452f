package org.hawthornglade.gateway.http;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Supplier;
import org.hawthornglade.core.caller.UnreadResponses;
import org.hawthornglade.core.caller.UnreadResponses.Dropped;
import org.hawthornglade.core.caller.UnreadResponses.Unread;
import org.hawthornglade.core.fleet.InstanceAddress;
import org.hawthornglade.core.serving.RequestLimits;
import org.hawthornglade.core.stop.OpenWork;
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
    private static final AdaptiveRecvByteBufAllocator READS =
            new AdaptiveRecvByteBufAllocator(MIN_READ_BYTES, FIRST_READ_BYTES, RequestBodyBudget.MAX_READ_BYTES);
    private static final long OVERDUE_CHECK_INTERVAL_MS = 100;
    /** Time between two looks at what has arrived before the listener is closed, which resets it. */
    private static final long LAST_ACCEPT_MS = 1;
    /** Limit for the time in which more connections are accepted before the listener is closed. */
    private static final long LAST_ACCEPTS_MS = 50;
    /** A caller that has read nothing for this time is not reading its responses. */
    private static final long UNREAD_GRACE_MS = 1_000;

    private final EventLoop loop;
    private final Timers timers;
    private final Clock clock;
    private final Supplier<RequestLimits> limits;
    private final CallHandler handler;
    private final RequestBodyBudget bodies;
    private final CallerResources resources;
    private final int maxConnections;
    private final boolean keepsBodies;
    private final Set<CallerConnection> connections = new HashSet<>();
    private Channel listener;
    private long accepted;
    private boolean draining;
    private boolean refusing;

    /** Creates a server that does not listen yet, with budgets of its own. */
    public CallerServer(
            EventLoop loop, Timers timers, Clock clock, Supplier<RequestLimits> limits, CallHandler handler) {
        this(loop, timers, clock, limits, handler, RequestBodyBudget.ofEntry(clock, BodyPressureListener.NONE));
    }

    /**
     * Creates a server that does not listen yet, with the default limits for connections.
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
        this(
                new LoopAccess(loop, timers, clock),
                limits,
                handler,
                bodies,
                new CallerResources(CallerLimits.DEFAULT, CallerPressureListener.NONE),
                true);
    }

    private CallerServer(
            LoopAccess access,
            Supplier<RequestLimits> limits,
            CallHandler handler,
            RequestBodyBudget bodies,
            CallerResources resources,
            boolean forCallers) {
        this.loop = access.loop();
        this.timers = access.timers();
        this.clock = access.clock();
        this.limits = limits;
        this.handler = handler;
        this.bodies = bodies;
        this.resources = resources;
        this.keepsBodies = forCallers;
        this.maxConnections = forCallers ? resources.callerConnections() : resources.readinessConnections();
    }

    /**
     * Creates the server for callers, which does not listen yet.
     *
     * @param limits the request limits currently in force
     * @param handler handles the calls
     * @param bodies limits the memory for the bodies of requests
     * @param resources what the connections of all servers of the process may hold
     */
    public static CallerServer ofCallers(
            LoopAccess access,
            Supplier<RequestLimits> limits,
            CallHandler handler,
            RequestBodyBudget bodies,
            CallerResources resources) {
        return new CallerServer(access, limits, handler, bodies, resources, true);
    }

    /**
     * Creates the server for readiness checks, which does not listen yet. It discards bodies as they arrive.
     *
     * @param handler handles the calls
     * @param bodies limits the memory for the bodies of requests
     * @param resources what the connections of all servers of the process may hold
     */
    public static CallerServer ofReadiness(
            LoopAccess access, CallHandler handler, RequestBodyBudget bodies, CallerResources resources) {
        return new CallerServer(access, () -> RequestLimits.DEFAULT, handler, bodies, resources, false);
    }

    /**
     * The event loop that a server runs on, and its time.
     *
     * @param loop the event loop
     * @param timers run tasks on the event loop
     * @param clock the time
     */
    public record LoopAccess(EventLoop loop, Timers timers, Clock clock) {}

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
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        accepted++;
                        CallerConnection connection = new CallerConnection(CallerServer.this);
                        channel.config().setRecvByteBufAllocator(new LimitedReads(READS, connection::maxReadBytes));
                        channel.pipeline()
                                .addLast(
                                        connection.undecoded(),
                                        new RequestDecoder(
                                                limits.get().maxHeaderBytes(),
                                                callerLimits().maxHeaderFields()),
                                        new ResponseEncoder(connection::method),
                                        connection);
                    }
                });
        listener = bootstrap
                .bind(address.host(), address.port())
                .syncUninterruptibly()
                .channel();
        timers.every(OVERDUE_CHECK_INTERVAL_MS, bodies::refuseOverdue);
        timers.every(OVERDUE_CHECK_INTERVAL_MS, this::closeUnread);
        return ((InetSocketAddress) listener.localAddress()).getPort();
    }

    /** Closes each connection after the responses to what it has read from now on; open requests continue. */
    public void startDraining() {
        this.draining = true;
    }

    /**
     * Stops listening, once the event loop has accepted the connections that have arrived, and closes the connections
     * without an open request, except newly opened ones.
     */
    public void close() {
        if (listener != null) {
            closeListener(accepted, clock.nowMs() + LAST_ACCEPTS_MS);
        }
        closeIdle();
    }

    /** Closes the listener when the event loop has looked once more and accepted nothing, or at a time. */
    private void closeListener(long acceptedBefore, long untilMs) {
        timers.after(LAST_ACCEPT_MS, () -> {
            if (accepted > acceptedBefore && clock.nowMs() < untilMs) {
                closeListener(accepted, untilMs);
            } else {
                Channels.close(listener);
            }
        });
    }

    private void closeIdle() {
        List.copyOf(connections).forEach(CallerConnection::closeIfIdle);
    }

    /**
     * Refuses, from now on, requests whose bodies are not complete when all that has arrived is read, and closes the
     * connections without an open request, except newly opened ones.
     */
    public void startRefusing() {
        refusing = true;
        List.copyOf(connections).forEach(CallerConnection::startRefusing);
    }

    /** Refuses the requests whose heads are not complete, because the process ends. */
    public void refusePartial() {
        List.copyOf(connections).forEach(CallerConnection::refusePartial);
    }

    /** Returns what the end of the process would cut off. */
    public OpenWork openWork() {
        return connections.stream().map(CallerConnection::openWork).reduce(OpenWork.NONE, OpenWork::plus);
    }

    /** Reports to the handler what the end of the process cuts off. */
    public void reportCutByStop() {
        connections.forEach(CallerConnection::reportCutByStop);
    }

    /** Stops reading from all connections, because the process ends. */
    public void stopReading() {
        connections.forEach(CallerConnection::stopReading);
    }

    boolean isDraining() {
        return draining;
    }

    boolean isRefusing() {
        return refusing;
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

    CallerLimits callerLimits() {
        return resources.limits();
    }

    HeadBudget heads() {
        return resources.heads();
    }

    CallerPressureListener listener() {
        return resources.listener();
    }

    /** Returns whether bodies are kept until the end of their calls. */
    boolean keepsBodies() {
        return keepsBodies;
    }

    /** Adds a connection; over the limit the least recently active one without a call is closed. */
    void opened(CallerConnection connection) {
        if (connections.size() >= maxConnections) {
            resources.listener().onClosed("connections", connections.size(), maxConnections);
            CallerConnection shed = connections.stream()
                    .filter(CallerConnection::hasNoCall)
                    .min(Comparator.comparing(CallerConnection::hasHead)
                            .thenComparing(CallerConnection::hasPendingBytes)
                            .thenComparingLong(CallerConnection::lastActiveMs))
                    .orElse(connection);
            // The end of a channel is reported later; until then the next new connection would choose it again.
            connections.remove(shed);
            shed.closeForMemory();
            if (shed == connection) {
                return;
            }
        }
        connections.add(connection);
    }

    /** Closes the connections whose callers do not read their responses. */
    private void closeUnread() {
        long nowMs = clock.nowMs();
        List<Unread<CallerConnection>> unread = new ArrayList<>();
        for (CallerConnection connection : connections) {
            long bytes = connection.checkUnread(nowMs);
            unread.add(new Unread<>(connection, bytes, connection.unreadSinceMs()));
        }
        UnreadResponses responses = new UnreadResponses(
                resources.maxUnreadBytes(), UNREAD_GRACE_MS, callerLimits().unreadTimeoutMs());
        for (Dropped<CallerConnection> dropped : responses.choose(unread, nowMs)) {
            resources.listener().onClosed("unread", dropped.totalBytes(), resources.maxUnreadBytes());
            dropped.connection().closeForMemory();
        }
    }

    void closed(CallerConnection connection) {
        connections.remove(connection);
    }
}
