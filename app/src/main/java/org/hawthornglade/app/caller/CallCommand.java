package org.hawthornglade.app.caller;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import java.io.IOException;
import java.io.PrintStream;
import org.apache.hc.client5.http.classic.methods.HttpUriRequestBase;
import org.hawthornglade.app.Command;
import org.hawthornglade.app.ExitCode;

/** Makes one call to a plain service. */
@Parameters(commandDescription = "Makes one call to a plain service")
public final class CallCommand implements Command {
    @ParametersDelegate
    private final CallerOptions options = new CallerOptions();

    @Parameter(names = "--service", required = true, description = "Plain service")
    private String service;

    @Parameter(names = "--method", description = "HTTP method")
    private String method = "GET";

    @Parameter(names = "--path", required = true, description = "Path below the service, with a leading slash")
    private String path;

    @Parameter(names = "--body", description = "Body to send")
    private String body;

    @Parameter(
            names = "--idempotency-key",
            description = "Idempotency key, which distinguishes retries of a call from new calls")
    private String idempotencyKey;

    @Override
    public String name() {
        return "call";
    }

    @Override
    public ExitCode run(PrintStream out) throws IOException {
        CallerHttp http = new CallerHttp(options);
        HttpUriRequestBase request = http.request(method, "/services/" + service + path, "application/json", body);
        if (idempotencyKey != null) {
            request.setHeader("Idempotency-Key", idempotencyKey);
        }
        return http.run(request, out);
    }
}
