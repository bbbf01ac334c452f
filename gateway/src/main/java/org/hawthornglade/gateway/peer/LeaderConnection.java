package org.hawthornglade.gateway.peer;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.ConnectTimeoutException;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.ConnectException;
import java.util.Optional;
import org.hawthornglade.core.fleet.InstanceAddress;
import org.hawthornglade.core.limit.LimitUpdate;
import org.hawthornglade.core.time.Clock;
import org.hawthornglade.gateway.log.EventLog;
import org.hawthornglade.protocol.gen.peer.PeerMessage;

/** An entry's connection to the placement leader. */
public final class LeaderConnection {
    /** A leader that says nothing for this long is taken to be lost. */
    static final long SILENCE_TIMEOUT_MS = 1_200;

    private static final int CONNECT_TIMEOUT_MS = 500;
    private static final long RECONNECT_INTERVAL_MS = 200;

    /** Takes what the leader tells. */
    public interface Listener {
        /** Takes news. */
        void onPlacements(PlacementUpdate news);

        /** Takes news of endpoints with limits. */
        void onLimits(LimitUpdate news);

        /** Takes note that a leader can be told the demand. */
        void onLeaderConnected();

        /** Takes note that no leader is heard any more. */
        void onLeaderLost();
    }

    private final EventLoop loop;
    private final Clock clock;
    private final EventLog log;
    private final Listener listener;
    private Optional<InstanceAddress> target = Optional.empty();
    private Optional<PeerChannel> open = Optional.empty();
    private Optional<String> endedLeader = Optional.empty();
    private boolean connecting;
    private long lastAttemptMs;
    private long receivedAtMs;

    /** Creates a link that is not connected. */
    public LeaderConnection(EventLoop loop, Clock clock, EventLog log, Listener listener) {
        this.loop = loop;
        this.clock = clock;
        this.log = log;
        this.listener = listener;
    }

    /** Sets where the leader is; nothing if this entry leads itself or none is known. */
    public void target(Optional<InstanceAddress> address) {
        if (address.equals(target)) {
            return;
        }
        target = address;
        open.ifPresent(PeerChannel::close);
        lastAttemptMs = 0;
    }

    /** Returns whether the leader was heard lately. */
    public boolean leaderAlive() {
        return open.isPresent() && clock.nowMs() - receivedAtMs <= SILENCE_TIMEOUT_MS;
    }

    /** Returns the address of the leader if its process is known to have ended. */
    public Optional<String> endedLeader() {
        return endedLeader;
    }

    /** Connects if needed, and ends a connection that has fallen silent; call it now and then. */
    public void check() {
        long nowMs = clock.nowMs();
        if (open.isPresent()) {
            if (nowMs - receivedAtMs > SILENCE_TIMEOUT_MS) {
                open.get().close();
            }
            return;
        }
        if (target.isPresent() && !connecting && nowMs - lastAttemptMs >= RECONNECT_INTERVAL_MS) {
            lastAttemptMs = nowMs;
            connect(target.get());
        }
    }

    /** Tells the leader this entry's demand, if one is connected. */
    public void send(DemandUpdate news) {
        open.ifPresent(channel -> channel.send(PeerCodec.encode(news)));
    }

    private void connect(InstanceAddress address) {
        connecting = true;
        Bootstrap bootstrap = new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
                .option(ChannelOption.TCP_NODELAY, true)
                .handler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        PeerChannel.install(channel, new Events());
                    }
                });
        bootstrap.connect(address.host(), address.port()).addListener(done -> {
            connecting = false;
            // Nothing listens there although the machine answers: the process has ended.
            endedLeader = done.cause() instanceof ConnectException && !(done.cause() instanceof ConnectTimeoutException)
                    ? Optional.of(address.toString())
                    : Optional.empty();
        });
    }

    /** What happens on the connection. */
    private final class Events implements PeerChannel.Listener {
        @Override
        public void onOpen(PeerChannel channel) {
            open = Optional.of(channel);
            receivedAtMs = clock.nowMs();
            log.event("leader-connected")
                    .with("address", target.map(InstanceAddress::toString).orElse(""))
                    .write();
            listener.onLeaderConnected();
        }

        @Override
        public void onMessage(PeerChannel channel, PeerMessage message) {
            receivedAtMs = clock.nowMs();
            if (message.isSetPlacement()) {
                listener.onPlacements(PeerCodec.placement(message.getPlacement(), receivedAtMs));
            }
            if (message.isSetLimits()) {
                listener.onLimits(LimitCodec.limitUpdate(message.getLimits()));
            }
        }

        @Override
        public void onClosed(PeerChannel channel) {
            if (!open.equals(Optional.of(channel))) {
                return;
            }
            open = Optional.empty();
            log.event("leader-lost")
                    .with("silent_ms", clock.nowMs() - receivedAtMs)
                    .write();
            listener.onLeaderLost();
        }
    }
}
