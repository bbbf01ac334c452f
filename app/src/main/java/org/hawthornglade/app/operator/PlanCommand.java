package org.hawthornglade.app.operator;

import static java.nio.charset.StandardCharsets.UTF_8;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import org.hawthornglade.app.Command;
import org.hawthornglade.app.ExitCode;
import org.hawthornglade.core.plan.Plan;

/** Creates a plan from an intent, without putting it into force. */
@Parameters(commandDescription = "Creates a plan from an intent, without putting it into force")
public final class PlanCommand implements Command {
    @ParametersDelegate
    private final OperatorOptions options = new OperatorOptions();

    @Parameter(description = "INTENT-FILE, or - for the standard input", required = true)
    private String file;

    @Override
    public String name() {
        return "plan";
    }

    @Override
    public ExitCode run(PrintStream out) throws IOException {
        OperatorResponse response = new OperatorHttp(options).post("/operator/plans", intent());
        return new ResponseWriter(options, out).write(response, Plan.class, new PlanPrinter(out)::print);
    }

    private String intent() throws IOException {
        return file.equals("-") ? new String(System.in.readAllBytes(), UTF_8) : Files.readString(Path.of(file), UTF_8);
    }
}
