package org.hawthornglade.app.logs;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.hawthornglade.app.Command;
import org.hawthornglade.app.ExitCode;

/** Prints the events that relate to one request, from the given log files. */
@Parameters(commandDescription = "Prints the events that relate to one request, from the given log files")
public final class TraceCommand implements Command {
    @Parameter(names = "--request", required = true, description = "Id of the request")
    private String request;

    @Parameter(description = "LOG-FILE...", required = true)
    private List<String> files = new ArrayList<>();

    @Override
    public String name() {
        return "trace";
    }

    @Override
    public ExitCode run(PrintStream out) throws IOException {
        List<LogEvent> events = new ArrayList<>();
        for (String file : files) {
            for (String line : Files.readAllLines(Path.of(file))) {
                LogEvent.parse(line).ifPresent(events::add);
            }
        }
        RequestTrace trace = new RequestTrace(events);
        Optional<LogEvent> call = trace.callEvent(request);
        if (call.isEmpty()) {
            out.println("none of the given logs has the end of request " + request
                    + ": it did not reach an entry, its entry stopped before it ended, or that entry's log is missing");
            return ExitCode.FAILED;
        }
        trace.relatedEvents(call.get()).forEach(out::println);
        return ExitCode.OK;
    }
}
