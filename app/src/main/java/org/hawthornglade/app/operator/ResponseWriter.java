package org.hawthornglade.app.operator;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.io.PrintStream;
import org.hawthornglade.app.ExitCode;
import org.hawthornglade.core.plan.Plan;

/** Shows an entry's answers the way all operators' commands do. */
final class ResponseWriter {
    private final OperatorOptions options;
    private final PrintStream out;

    ResponseWriter(OperatorOptions options, PrintStream out) {
        this.options = options;
        this.out = out;
    }

    /** Prints what an answer says, for people. */
    interface Printer<T> {
        void print(T value);
    }

    /** Shows an answer; a refusal is shown with its faults and, if there is one, its fresh plan. */
    <T> ExitCode write(OperatorResponse reply, Class<T> type, Printer<T> printer) throws IOException {
        if (options.json()) {
            out.println(OperatorHttp.MAPPER.writerWithDefaultPrettyPrinter().writeValueAsString(reply.body()));
        } else if (reply.ok()) {
            printer.print(OperatorHttp.parse(reply.body(), type));
        } else {
            printError(reply);
        }
        return reply.exitCode();
    }

    private void printError(OperatorResponse reply) throws IOException {
        JsonNode error = reply.body().path("error");
        String code = reply.resultCode().map(Enum::name).orElse("HTTP " + reply.status());
        out.println("refused: " + code + " (" + error.path("code").asText("-") + "): "
                + error.path("message").asText(""));
        long retryAfterMs = error.path("retry_after_ms").asLong();
        if (retryAfterMs > 0) {
            out.println("come back in " + retryAfterMs + " ms");
        }
        for (JsonNode fault : reply.body().path("faults")) {
            out.println("  " + fault.path("path").asText() + ": "
                    + fault.path("message").asText());
        }
        JsonNode fresh = reply.body().path("freshPlan");
        if (fresh.isObject()) {
            out.println();
            out.println("the same intent on the configuration now in force:");
            new PlanPrinter(out).print(OperatorHttp.parse(fresh, Plan.class));
        }
    }
}
