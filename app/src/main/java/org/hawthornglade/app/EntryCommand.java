package org.hawthornglade.app;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.io.PrintStream;
import org.hawthornglade.entry.EntryApplication;

/** Runs an entry until the process is stopped. */
@Parameters(commandDescription = "Runs an entry until the process is stopped")
final class EntryCommand implements Command {
    @Parameter(description = "SETTINGS-FILE", required = true)
    private String settingsFile;

    @Override
    public String name() {
        return "entry";
    }

    @Override
    public ExitCode run(PrintStream out) throws Exception {
        new EntryApplication().run("server", settingsFile);
        return ExitCode.RUNNING;
    }
}
