package org.hawthornglade.app.operator;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import java.io.IOException;
import java.io.PrintStream;
import org.hawthornglade.app.Command;
import org.hawthornglade.app.ExitCode;
import org.hawthornglade.entry.operator.Explanation;

/** Explains the decisions on a request or a model. */
@Parameters(commandDescription = "Explains the decisions on a request or a model")
public final class ExplainCommand implements Command {
    @ParametersDelegate
    private final OperatorOptions options = new OperatorOptions();

    @Parameter(names = "--request", description = "Request id, as in the X-Request-Id header of its response")
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
        OperatorResponse response = new OperatorHttp(options).get("/operator/explain/" + path);
        return new ResponseWriter(options, out)
                .write(response, Explanation.class, explanation -> print(explanation, out));
    }

    private static void print(Explanation explanation, PrintStream out) {
        out.println(explanation.subject() + ": " + explanation.state());
        for (int i = 0; i < explanation.reasons().size(); i++) {
            out.println("  "
                    + TimelineCommand.formatTime(explanation.events().get(i).timeMs()) + "  "
                    + explanation.reasons().get(i));
        }
        TimelineCommand.printMissing(explanation.missing(), out);
    }
}
