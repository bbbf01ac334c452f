package org.hawthornglade.app.gateway;

import com.beust.jcommander.Parameters;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Path;
import org.hawthornglade.app.Command;
import org.hawthornglade.app.ExitCode;
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
        Path file = Path.of(path);
        GatewayProcess process = new GatewayProcess(SettingsFile.read(file), out);
        process.start();
        HangupSignal.install(() -> process.reload(() -> SettingsFile.read(file)));
        Runtime.getRuntime().addShutdownHook(new Thread(process::stop, "stop"));
        return ExitCode.RUNNING;
    }
}
