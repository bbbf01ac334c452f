package org.hawthornglade.app.operator;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.io.PrintStream;
import org.hawthornglade.app.ExitCode;
import org.hawthornglade.core.plan.Plan;

/** Prints responses of an entry in the format common to all operator commands. */
final class ResponseWriter {
    private final OperatorOptions options;
    private final PrintStream out;

    ResponseWriter(OperatorOptions options, PrintStream out) {
        this.options = options;
        this.out = out;
    }

    /** Prints a parsed response as text. */
    interface Printer<T> {
        void print(T value);
    }

    /** Prints a response; an error response is printed with its faults and, if it has one, the fresh plan. */
    <T> ExitCode write(OperatorResponse response, Class<T> type, Printer<T> printer) throws IOException {
        if (options.json()) {
            out.println(OperatorHttp.MAPPER.writerWithDefaultPrettyPrinter().writeValueAsString(response.body()));
        } else if (response.ok()) {
            printer.print(OperatorHttp.parse(response.body(), type));
        } else {
            printError(response);
        }
        return response.exitCode();
    }

    private void printError(OperatorResponse response) throws IOException {
        JsonNode error = response.body().path("error");
        String code = response.resultCode().map(Enum::name).orElse("HTTP " + response.status());
        out.println("refused: " + code + " (" + error.path("code").asText("-") + "): "
                + error.path("message").asText(""));
        long retryAfterMs = error.path("retry_after_ms").asLong();
        if (retryAfterMs > 0) {
            out.println("retry after " + retryAfterMs + " ms");
        }
        for (JsonNode fault : response.body().path("faults")) {
            out.println("  " + fault.path("path").asText() + ": "
                    + fault.path("message").asText());
        }
        JsonNode freshPlan = response.body().path("freshPlan");
        if (freshPlan.isObject()) {
            out.println();
            out.println("plan of the same intent on the configuration now in force:");
            new PlanPrinter(out).print(OperatorHttp.parse(freshPlan, Plan.class));
        }
    }
}
