package org.hawthornglade.app;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.io.PrintStream;
import org.hawthornglade.agent.AgentApplication;

/** Runs an agent until the process is stopped. */
@Parameters(commandDescription = "Runs an agent until the process is stopped")
final class AgentCommand implements Command {
    @Parameter(description = "SETTINGS-FILE", required = true)
    private String settingsFile;

    @Override
    public String name() {
        return "agent";
    }

    @Override
    public ExitCode run(PrintStream out) throws Exception {
        new AgentApplication().run("server", settingsFile);
        return ExitCode.RUNNING;
    }
}
