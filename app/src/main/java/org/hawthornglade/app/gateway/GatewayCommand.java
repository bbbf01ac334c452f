package org.hawthornglade.app.gateway;

import com.beust.jcommander.Parameters;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Path;
import org.hawthornglade.app.Command;
import org.hawthornglade.app.ExitCode;
import org.hawthornglade.core.stop.ProcessLifecycle;
import org.hawthornglade.core.time.Clock;
import org.hawthornglade.platform.SettingsFile;

/** Runs an entry on the users' platform until the process is stopped. */
@Parameters(commandDescription = "Runs an entry on the users' platform; settings by " + SettingsFile.PATH_VARIABLE)
public final class GatewayCommand implements Command {
    /** The name of the command. */
    public static final String NAME = "gateway";

    @Override
    public String name() {
        return NAME;
    }

    @Override
    public ExitCode run(PrintStream out) throws Exception {
        String path = System.getenv(SettingsFile.PATH_VARIABLE);
        if (path == null) {
            throw new IOException(SettingsFile.PATH_VARIABLE + " is not set");
        }
        Clock clock = Clock.system();
        ProcessLifecycle lifecycle = new ProcessLifecycle(clock);
        // Installed before the process listens: until then a signal ends it, and cuts off what it has accepted.
        HangupSignal.install(lifecycle::requestReload);
        Runtime.getRuntime().addShutdownHook(new Thread(lifecycle::stop, "stop"));
        Path file = Path.of(path);
        lifecycle.start(new GatewayProcess(clock, () -> SettingsFile.read(file), out));
        return ExitCode.RUNNING;
    }
}
