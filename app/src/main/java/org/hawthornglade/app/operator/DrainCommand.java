package org.hawthornglade.app.operator;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.io.PrintStream;
import org.hawthornglade.app.Command;
import org.hawthornglade.app.ExitCode;

/** Has an instance take no new work and end what runs. */
@Parameters(commandDescription = "Has an instance take no new work and end what runs")
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
        OperatorResponse reply =
                new OperatorHttp(options).post("/operator/instances/" + OperatorHttp.encode(instance) + "/drain", "");
        return new ResponseWriter(options, out)
                .write(reply, JsonNode.class, answer -> out.println("instance " + instance + " drains"));
    }
}
