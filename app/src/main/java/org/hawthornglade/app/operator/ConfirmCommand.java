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

/** Puts a plan into force; may be repeated when the answer was lost. */
@Parameters(commandDescription = "Puts a plan into force; may be repeated when the answer was lost")
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
        OperatorResponse reply;
        try {
            reply = new OperatorHttp(options).post("/operator/plans/" + OperatorHttp.encode(plan) + "/confirm", "");
        } catch (ConnectException e) {
            throw e;
        } catch (IOException e) {
            System.err.println("confirm: no answer (" + e.getMessage() + "); confirm the same plan again");
            return ExitCode.UNKNOWN;
        }
        return new ResponseWriter(options, out).write(reply, JsonNode.class, answer -> print(answer, out));
    }

    private static void print(JsonNode answer, PrintStream out) {
        out.printf(
                "version %d is in force, from plan %s%s%n",
                answer.path("version").asLong(),
                answer.path("planId").asText(),
                answer.path("repeated").asBoolean() ? " (it was confirmed before)" : "");
    }
}
