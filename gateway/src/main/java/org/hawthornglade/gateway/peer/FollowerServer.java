package org.hawthornglade.gateway.peer;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.hawthornglade.core.fleet.InstanceAddress;
import org.hawthornglade.core.limit.LimitUpdate;
import org.hawthornglade.core.quarantine.QuarantineReport;
import org.hawthornglade.core.quarantine.QuarantineUpdate;
import org.hawthornglade.core.quota.QuotaReport;
import org.hawthornglade.core.quota.QuotaUpdate;
import org.hawthornglade.core.time.Clock;
import org.hawthornglade.protocol.gen.peer.PeerMessage;

/** Accepts the connections of the other entries; only the leader uses its connections. */
public final class FollowerServer {
    /** Receives the messages and connection events of followers. */
    public interface Listener {
        /** Handles a follower's demand. */
        void onDemand(DemandUpdate update);

        /** Handles a follower's report on parts of prompts that may crash instances. */
        void onQuarantineReport(String entry, QuarantineReport report);

        /** Handles a follower's report on quotas. */
        void onQuotaReport(String entry, QuotaReport report);

        /** Handles a new connection; the follower has not been sent any placements yet. */
        void onFollowerConnected();

        /** Handles the end of a follower's last connection. */
        void onFollowerDisconnected(String entry);
    }

    private final EventLoop loop;
    private final Clock clock;
    private final Listener listener;
    private final Map<PeerChannel, String> followers = new HashMap<>();
    private final PlacementPublisher publisher = new PlacementPublisher();

    /** Creates a server that does not listen yet. */
    public FollowerServer(EventLoop loop, Clock clock, Listener listener) {
        this.loop = loop;
        this.clock = clock;
        this.listener = listener;
    }

    /** Starts listening; must not be called on the event loop. */
    public void listen(InstanceAddress address) {
        new ServerBootstrap()
                .group(loop, loop)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        PeerChannel.install(channel, new Events());
                    }
                })
                .bind(address.host(), address.port())
                .syncUninterruptibly();
    }

    /**
     * Sends an update to all followers.
     *
     * @return the number of bytes sent, over all followers
     */
    public long send(PlacementUpdate update) {
        return publisher.publish(update, clock.nowMs());
    }

    /** Sends an update on rate-limited endpoints to one follower. */
    public void send(String entry, LimitUpdate update) {
        send(entry, PeerCodec.encode(update));
    }

    /** Sends an answer on quotas to one follower. */
    public void send(String entry, QuotaUpdate update) {
        send(entry, PeerCodec.encode(update));
    }

    private void send(String entry, byte[] frame) {
        followers.forEach((channel, name) -> {
            if (name.equals(entry)) {
                channel.send(frame);
            }
        });
    }

    /** Sends an update on parts of prompts in quarantine to all followers. */
    public void send(QuarantineUpdate update) {
        byte[] frame = PeerCodec.encode(update, clock.nowMs());
        followers.keySet().forEach(follower -> follower.send(frame));
    }

    /** Closes all connections, as after the lease was lost. */
    public void disconnectAll() {
        List.copyOf(followers.keySet()).forEach(PeerChannel::close);
    }

    /** Handles the events of the connections. */
    private final class Events implements PeerChannel.Listener {
        @Override
        public void onOpen(PeerChannel channel) {
            followers.put(channel, "");
            publisher.add(channel);
            listener.onFollowerConnected();
        }

        @Override
        public void onMessage(PeerChannel channel, PeerMessage message) {
            if (message.isSetQuarantineReport()) {
                listener.onQuarantineReport(
                        message.getQuarantineReport().getEntry(),
                        QuarantineCodec.report(message.getQuarantineReport(), clock.nowMs()));
            }
            String known = followers.getOrDefault(channel, "");
            // The name comes with the first demand; a report before it is repeated.
            if (message.isSetQuotaReport() && !known.isEmpty()) {
                listener.onQuotaReport(known, QuotaCodec.report(message.getQuotaReport()));
            }
            if (!message.isSetDemand()) {
                return;
            }
            DemandUpdate update = PeerCodec.demand(message.getDemand());
            followers.put(channel, update.entry());
            listener.onDemand(update);
        }

        @Override
        public void onClosed(PeerChannel channel) {
            String entry = followers.remove(channel);
            publisher.remove(channel);
            if (entry != null && !entry.isEmpty() && !followers.containsValue(entry)) {
                listener.onFollowerDisconnected(entry);
            }
        }
    }
}
