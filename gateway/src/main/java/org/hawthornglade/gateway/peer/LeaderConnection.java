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
import org.hawthornglade.core.lease.ConnectionAttempt;
import org.hawthornglade.core.limit.LimitUpdate;
import org.hawthornglade.core.quarantine.QuarantineReport;
import org.hawthornglade.core.quarantine.QuarantineUpdate;
import org.hawthornglade.core.quota.QuotaReport;
import org.hawthornglade.core.quota.QuotaUpdate;
import org.hawthornglade.core.time.Clock;
import org.hawthornglade.gateway.log.EventLog;
import org.hawthornglade.protocol.gen.peer.PeerMessage;

/** Maintains an entry's connection to the placement leader. */
public final class LeaderConnection {
    /** Silence after which the leader is considered lost, in milliseconds. */
    static final long SILENCE_TIMEOUT_MS = 1_200;

    private static final int CONNECT_TIMEOUT_MS = 500;
    private static final long RECONNECT_INTERVAL_MS = 200;

    /** Receives the messages and connection events of the leader. */
    public interface Listener {
        /** Handles a placement update. */
        void onPlacements(PlacementUpdate update);

        /** Handles an update on rate-limited endpoints. */
        void onLimits(LimitUpdate update);

        /** Handles an update on parts of prompts in quarantine. */
        void onQuarantine(QuarantineUpdate update);

        /** Handles the answer to a report on quotas. */
        void onQuotas(QuotaUpdate update);

        /** Handles the end of an attempt to connect. */
        void onConnectionAttempt(ConnectionAttempt attempt);

        /** Handles a new connection, on which the demand can be sent. */
        void onLeaderConnected();

        /** Handles the loss of the connection. */
        void onLeaderLost();
    }

    private final EventLoop loop;
    private final Clock clock;
    private final EventLog log;
    private final Listener listener;
    private Optional<InstanceAddress> target = Optional.empty();
    private Optional<PeerChannel> open = Optional.empty();
    private boolean connecting;
    private long lastAttemptMs;
    private long receivedAtMs;
    private boolean heard;

    /** Creates an object that is not connected yet. */
    public LeaderConnection(EventLoop loop, Clock clock, EventLog log, Listener listener) {
        this.loop = loop;
        this.clock = clock;
        this.log = log;
        this.listener = listener;
    }

    /** Sets the leader's address; empty if this entry leads itself or no leader is known. */
    public void target(Optional<InstanceAddress> address) {
        if (address.equals(target)) {
            return;
        }
        target = address;
        open.ifPresent(PeerChannel::close);
        lastAttemptMs = 0;
    }

    /** Closes the connection, as to a leader that another one has replaced. */
    public void disconnect() {
        open.ifPresent(PeerChannel::close);
    }

    /**
     * Returns whether the leader has sent a message on the open connection and has not been silent too long since.
     *
     * <p>A connection alone tells nothing: the system accepts it for a process that stands still.
     */
    public boolean leaderAlive() {
        return open.isPresent() && heard && clock.nowMs() - receivedAtMs <= SILENCE_TIMEOUT_MS;
    }

    /** Connects if needed and closes a connection that has been silent too long; must be called regularly. */
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

    /** Sends this entry's demand to the leader, if connected. */
    public void send(DemandUpdate update) {
        open.ifPresent(channel -> channel.send(PeerCodec.encode(update)));
    }

    /** Returns whether a message that is sent now reaches the connection to the leader. */
    public boolean writable() {
        return open.map(PeerChannel::writable).orElse(false);
    }

    /** Sends a report on parts of prompts that may crash instances, if connected. */
    public void send(String entry, QuarantineReport report) {
        open.ifPresent(channel -> channel.send(PeerCodec.encode(entry, report, clock.nowMs())));
    }

    /** Sends a report on quotas, if connected. */
    public void send(QuotaReport report) {
        open.ifPresent(channel -> channel.send(PeerCodec.encode(report)));
    }

    private void connect(InstanceAddress address) {
        connecting = true;
        long startedAtMs = clock.nowMs();
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
            onAttempted(address, startedAtMs, done.cause());
        });
    }

    private void onAttempted(InstanceAddress address, long startedAtMs, Throwable cause) {
        boolean refused = cause instanceof ConnectException && !(cause instanceof ConnectTimeoutException);
        if (refused) {
            log.event("leader-refused").with("address", address).write();
        }
        listener.onConnectionAttempt(new ConnectionAttempt(address.toString(), startedAtMs, refused));
    }

    /** Handles the events of the connection. */
    private final class Events implements PeerChannel.Listener {
        @Override
        public void onOpen(PeerChannel channel) {
            open = Optional.of(channel);
            heard = false;
            receivedAtMs = clock.nowMs();
            log.event("leader-connected")
                    .with("address", target.map(InstanceAddress::toString).orElse(""))
                    .write();
            listener.onLeaderConnected();
        }

        @Override
        public void onMessage(PeerChannel channel, PeerMessage message) {
            heard = true;
            receivedAtMs = clock.nowMs();
            if (message.isSetPlacement()) {
                listener.onPlacements(PeerCodec.placement(message.getPlacement(), receivedAtMs));
            }
            if (message.isSetQuarantine()) {
                listener.onQuarantine(QuarantineCodec.update(message.getQuarantine(), receivedAtMs));
            }
            if (message.isSetLimits()) {
                listener.onLimits(LimitCodec.limitUpdate(message.getLimits()));
            }
            if (message.isSetQuotas()) {
                listener.onQuotas(QuotaCodec.update(message.getQuotas()));
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
