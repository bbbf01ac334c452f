package org.hawthornglade.app;

import com.beust.jcommander.Parameters;
import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Path;
import org.hawthornglade.core.time.Clock;
import org.hawthornglade.gateway.Gateway;
import org.hawthornglade.gateway.GatewaySettings;
import org.hawthornglade.gateway.exchange.EndpointLinks;
import org.hawthornglade.gateway.log.EventLog;
import org.hawthornglade.gateway.loop.Timers;
import org.hawthornglade.platform.Platform;
import org.hawthornglade.platform.SettingsFile;

/** Runs an entry on the users' platform until the process is stopped. */
@Parameters(commandDescription = "Runs an entry on the users' platform; settings by " + SettingsFile.PATH_VARIABLE)
final class GatewayCommand implements Command {
    @Override
    public String name() {
        return "gateway";
    }

    @Override
    public ExitCode run(PrintStream out) throws Exception {
        String path = System.getenv(SettingsFile.PATH_VARIABLE);
        if (path == null) {
            throw new IOException(SettingsFile.PATH_VARIABLE + " is not set");
        }
        GatewaySettings settings = SettingsFile.read(Path.of(path));
        Clock clock = Clock.system();
        EventLog log = new EventLog(clock, out);
        EventLoop loop = new NioEventLoopGroup(1).next();
        Timers timers = new Timers(loop, log);
        EndpointLinks links = new EndpointLinks(loop, clock);
        Platform platform = Platform.create(loop, timers, clock, log, settings.storeAddress(), links);
        Gateway gateway = new Gateway(
                settings,
                loop,
                timers,
                clock,
                log,
                platform.protocol(),
                links,
                platform.lease(),
                platform.engines(),
                System::currentTimeMillis);
        gateway.start(platform.feeds());
        Runtime.getRuntime().addShutdownHook(new Thread(gateway::stop, "stop"));
        return ExitCode.RUNNING;
    }
}
