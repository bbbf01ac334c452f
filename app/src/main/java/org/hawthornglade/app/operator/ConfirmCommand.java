package org.hawthornglade.app.operator;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.io.PrintStream;
import java.net.ConnectException;
import org.hawthornglade.app.Command;
import org.hawthornglade.app.ExitCode;

/** Confirms a plan, which puts it into force; may be repeated if the response was lost. */
@Parameters(commandDescription = "Puts a plan into force; may be repeated if the response was lost")
public final class ConfirmCommand implements Command {
    @ParametersDelegate
    private final OperatorOptions options = new OperatorOptions();

    @Parameter(description = "PLAN", required = true)
    private String plan;

    @Override
    public String name() {
        return "confirm";
    }

    @Override
    public ExitCode run(PrintStream out) throws IOException {
        OperatorResponse response;
        try {
            response = new OperatorHttp(options).post("/operator/plans/" + OperatorHttp.encode(plan) + "/confirm", "");
        } catch (ConnectException e) {
            throw e;
        } catch (IOException e) {
            System.err.println("confirm: no response (" + e.getMessage() + "); confirm the same plan again");
            return ExitCode.UNKNOWN;
        }
        return new ResponseWriter(options, out).write(response, JsonNode.class, body -> print(body, out));
    }

    private static void print(JsonNode body, PrintStream out) {
        out.printf(
                "version %d is in force, from plan %s%s%n",
                body.path("version").asLong(),
                body.path("planId").asText(),
                body.path("repeated").asBoolean() ? " (already confirmed)" : "");
    }
}
