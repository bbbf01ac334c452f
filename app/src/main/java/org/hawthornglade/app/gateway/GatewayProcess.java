package org.hawthornglade.app.gateway;

import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.util.internal.logging.InternalLoggerFactory;
import io.netty.util.internal.logging.JdkLoggerFactory;
import java.io.IOException;
import java.io.PrintStream;
import org.hawthornglade.core.stop.ProcessLifecycle;
import org.hawthornglade.core.time.Clock;
import org.hawthornglade.gateway.Gateway;
import org.hawthornglade.gateway.GatewaySettings;
import org.hawthornglade.gateway.exchange.EndpointConnections;
import org.hawthornglade.gateway.exchange.UnexpectedResponseLog;
import org.hawthornglade.gateway.log.EventLog;
import org.hawthornglade.gateway.loop.LoopContext;
import org.hawthornglade.gateway.loop.Timers;
import org.hawthornglade.gateway.metrics.GatewayMetrics;
import org.hawthornglade.platform.Platform;

/** Creates a gateway with its platform adapter; the only place that connects the two. */
final class GatewayProcess implements ProcessLifecycle.Service {
    static {
        // By default Netty sets up the logging framework of the other roles, which takes a third of the start-up time.
        InternalLoggerFactory.setDefaultFactory(JdkLoggerFactory.INSTANCE);
    }

    private final EventLoop loop = new NioEventLoopGroup(1).next();
    private final EventLog log;
    private final Timers timers;
    private final Gateway gateway;
    private final Platform platform;
    private final SettingsSource source;

    GatewayProcess(Clock clock, SettingsSource source, PrintStream out) throws IOException {
        this.source = source;
        GatewaySettings settings = source.read();
        log = new EventLog(clock, out);
        timers = new Timers(loop, log);
        GatewayMetrics metrics = new GatewayMetrics();
        EndpointConnections connections = new EndpointConnections(loop, clock, new UnexpectedResponseLog(log, metrics));
        platform = Platform.create(loop, timers, clock, log, settings.storeAddress(), connections);
        LoopContext context = new LoopContext(loop, timers, clock, System::currentTimeMillis, log);
        gateway = new Gateway(
                settings,
                context,
                platform.protocol(),
                connections,
                platform.lease(),
                platform.streams(),
                platform.engines(),
                metrics);
    }

    @Override
    public void start() {
        gateway.start(platform.feeds());
    }

    /** Applies changed settings; if they cannot be read, logs the reason and keeps the current ones in force. */
    @Override
    public void reload() {
        try {
            gateway.reload(source.read());
        } catch (IOException e) {
            log.event("reload-failed").with("why", e.getMessage()).write();
        }
    }

    @Override
    public void stop(long requestedAtMs) {
        gateway.stop(requestedAtMs);
    }

    /** Supplies the settings of the process. */
    interface SettingsSource {
        /** Returns validated settings; the exception reports all faults. */
        GatewaySettings read() throws IOException;
    }

    EventLoop loop() {
        return loop;
    }

    Timers timers() {
        return timers;
    }
}
