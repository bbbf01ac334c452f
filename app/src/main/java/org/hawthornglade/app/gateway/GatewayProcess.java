package org.hawthornglade.app.gateway;

import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.util.internal.logging.InternalLoggerFactory;
import io.netty.util.internal.logging.JdkLoggerFactory;
import java.io.IOException;
import java.io.PrintStream;
import org.hawthornglade.core.time.Clock;
import org.hawthornglade.gateway.Gateway;
import org.hawthornglade.gateway.GatewaySettings;
import org.hawthornglade.gateway.exchange.EndpointConnections;
import org.hawthornglade.gateway.log.EventLog;
import org.hawthornglade.gateway.loop.LoopContext;
import org.hawthornglade.gateway.loop.Timers;
import org.hawthornglade.platform.Platform;

/** An entry with its adapter, put together: the one place that names both. */
final class GatewayProcess {
    static {
        // Netty would set up the logging of the product's other roles, which takes a third of the start.
        InternalLoggerFactory.setDefaultFactory(JdkLoggerFactory.INSTANCE);
    }

    private final EventLoop loop = new NioEventLoopGroup(1).next();
    private final Clock clock = Clock.system();
    private final EventLog log;
    private final Timers timers;
    private final Gateway gateway;
    private final Platform platform;

    GatewayProcess(GatewaySettings settings, PrintStream out) {
        log = new EventLog(clock, out);
        timers = new Timers(loop, log);
        EndpointConnections links = new EndpointConnections(loop, clock);
        platform = Platform.create(loop, timers, clock, log, settings.storeAddress(), links);
        LoopContext context = new LoopContext(loop, timers, clock, System::currentTimeMillis, log);
        gateway = new Gateway(settings, context, platform.protocol(), links, platform.lease(), platform.engines());
    }

    void start() {
        gateway.start(platform.feeds());
    }

    /** Takes over changed settings; ones that cannot be read leave the present ones in force. */
    void reload(SettingsSource source) {
        try {
            gateway.reload(source.read());
        } catch (IOException e) {
            log.event("reload-failed").with("why", e.getMessage()).write();
        }
    }

    void stop() {
        gateway.stop();
    }

    /** Reads the settings of the process. */
    interface SettingsSource {
        /** Returns checked settings; fails with all faults. */
        GatewaySettings read() throws IOException;
    }

    EventLoop loop() {
        return loop;
    }

    Timers timers() {
        return timers;
    }

    Clock clock() {
        return clock;
    }
}
