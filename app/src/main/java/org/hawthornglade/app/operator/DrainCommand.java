package org.hawthornglade.app.operator;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.io.PrintStream;
import org.hawthornglade.app.Command;
import org.hawthornglade.app.ExitCode;

/** Drains an instance: it takes no new work and completes what is running. */
@Parameters(commandDescription = "Drains an instance: it takes no new work and completes what is running")
public final class DrainCommand implements Command {
    @ParametersDelegate
    private final OperatorOptions options = new OperatorOptions();

    @Parameter(description = "INSTANCE", required = true)
    private String instance;

    @Override
    public String name() {
        return "drain";
    }

    @Override
    public ExitCode run(PrintStream out) throws IOException {
        OperatorResponse response =
                new OperatorHttp(options).post("/operator/instances/" + OperatorHttp.encode(instance) + "/drain", "");
        return new ResponseWriter(options, out)
                .write(response, JsonNode.class, body -> out.println("instance " + instance + " is draining"));
    }
}
