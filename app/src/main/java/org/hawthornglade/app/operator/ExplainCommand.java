package org.hawthornglade.app.operator;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import java.io.IOException;
import java.io.PrintStream;
import org.hawthornglade.app.Command;
import org.hawthornglade.app.ExitCode;
import org.hawthornglade.entry.operator.Explanation;

/** Tells what was decided about a request or a model, and why. */
@Parameters(commandDescription = "Tells what was decided about a request or a model, and why")
public final class ExplainCommand implements Command {
    @ParametersDelegate
    private final OperatorOptions options = new OperatorOptions();

    @Parameter(names = "--request", description = "Request id, as in the header X-Request-Id of its answer")
    private String request;

    @Parameter(names = "--model", description = "Model or adapter")
    private String model;

    @Override
    public String name() {
        return "explain";
    }

    @Override
    public ExitCode run(PrintStream out) throws IOException {
        if ((request == null) == (model == null)) {
            System.err.println("explain: give either --request or --model");
            return ExitCode.USAGE;
        }
        String path =
                request == null ? "models/" + OperatorHttp.encode(model) : "requests/" + OperatorHttp.encode(request);
        OperatorResponse reply = new OperatorHttp(options).get("/operator/explain/" + path);
        return new ResponseWriter(options, out).write(reply, Explanation.class, found -> print(found, out));
    }

    private static void print(Explanation found, PrintStream out) {
        out.println(found.subject() + ": " + found.state());
        for (int i = 0; i < found.reasons().size(); i++) {
            out.println("  " + TimelineCommand.formatTime(found.events().get(i).timeMs()) + "  "
                    + found.reasons().get(i));
        }
        TimelineCommand.printMissing(found.missing(), out);
    }
}
