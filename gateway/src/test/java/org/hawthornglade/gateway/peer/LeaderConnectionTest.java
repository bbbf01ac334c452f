package org.hawthornglade.gateway.peer;

import static com.google.common.truth.Truth.assertThat;

import io.netty.channel.nio.NioEventLoopGroup;
import java.io.ByteArrayOutputStream;
import java.io.DataOutputStream;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.hawthornglade.core.fleet.InstanceAddress;
import org.hawthornglade.core.lease.ConnectionAttempt;
import org.hawthornglade.core.limit.LimitUpdate;
import org.hawthornglade.core.quarantine.QuarantineUpdate;
import org.hawthornglade.core.quota.QuotaUpdate;
import org.hawthornglade.gateway.log.EventLog;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class LeaderConnectionTest {
    /** Records what the connection reports. */
    private static final class Recorder implements LeaderConnection.Listener {
        private final BlockingQueue<String> events = new LinkedBlockingQueue<>();

        @Override
        public void onPlacements(PlacementUpdate update) {}

        @Override
        public void onLimits(LimitUpdate update) {}

        @Override
        public void onQuarantine(QuarantineUpdate update) {
            events.add("message");
        }

        @Override
        public void onQuotas(QuotaUpdate update) {}

        @Override
        public void onConnectionAttempt(ConnectionAttempt attempt) {}

        @Override
        public void onLeaderConnected() {
            events.add("connected");
        }

        @Override
        public void onLeaderLost() {}
    }

    /** A leader that stood still was taken for a live one whenever its host had accepted a connection. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void leaderIsAliveOnlyIfItHasSentAMessageOnTheConnection(boolean sendsMessage) throws Exception {
        NioEventLoopGroup group = new NioEventLoopGroup(1);
        Recorder recorder = new Recorder();
        EventLog log =
                new EventLog(() -> 0, new PrintStream(new ByteArrayOutputStream(), true, StandardCharsets.UTF_8));
        try (ServerSocket host = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            LeaderConnection connection = new LeaderConnection(group.next(), () -> 1_000, log, recorder);
            connection.target(Optional.of(new InstanceAddress("127.0.0.1", host.getLocalPort())));
            group.submit(connection::check).get(5, TimeUnit.SECONDS);
            assertThat(recorder.events.poll(5, TimeUnit.SECONDS)).isEqualTo("connected");
            try (Socket accepted = host.accept()) {
                if (sendsMessage) {
                    byte[] frame = PeerCodec.encode(new QuarantineUpdate(Set.of(), List.of()), 1_000);
                    new DataOutputStream(accepted.getOutputStream()).writeInt(frame.length);
                    accepted.getOutputStream().write(frame);
                    assertThat(recorder.events.poll(5, TimeUnit.SECONDS)).isEqualTo("message");
                }
                assertThat(group.submit(connection::leaderAlive).get(5, TimeUnit.SECONDS))
                        .isEqualTo(sendsMessage);
            }
        } finally {
            group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
        }
    }
}
