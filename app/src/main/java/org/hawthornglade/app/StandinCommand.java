package org.hawthornglade.app;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.io.PrintStream;
import org.hawthornglade.standin.StandinApplication;

/** Runs stand-ins for the platform, engines and plain services until the process is stopped. */
@Parameters(
        commandDescription = "Runs stand-ins for the platform, engines and plain services until the process is stopped")
final class StandinCommand implements Command {
    @Parameter(description = "SETTINGS-FILE", required = true)
    private String settingsFile;

    @Override
    public String name() {
        return "standin";
    }

    @Override
    public ExitCode run(PrintStream out) throws Exception {
        new StandinApplication().run("server", settingsFile);
        return ExitCode.RUNNING;
    }
}
