package org.hawthornglade.app.caller;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.PrintStream;
import org.apache.hc.client5.http.classic.methods.HttpUriRequestBase;
import org.hawthornglade.app.Command;
import org.hawthornglade.app.ExitCode;

/** Sends one chat request to a model or adapter and prints the response as it arrives. */
@Parameters(commandDescription = "Sends one chat request to a model or adapter and prints the response")
public final class ChatCommand implements Command {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    @ParametersDelegate
    private final CallerOptions options = new CallerOptions();

    @Parameter(names = "--model", required = true, description = "Model or adapter")
    private String model;

    @Parameter(names = "--max-tokens", description = "Maximum length of the response in tokens")
    private int maxTokens = 16;

    @Parameter(names = "--whole", description = "Requests the response in one piece instead of a stream")
    private boolean whole;

    @Parameter(names = "--raw", description = "Prints the response body unchanged, not only its text")
    private boolean raw;

    @Parameter(description = "TEXT", required = true)
    private String text;

    @Override
    public String name() {
        return "chat";
    }

    @Override
    public ExitCode run(PrintStream out) throws IOException {
        ObjectNode body = MAPPER.createObjectNode();
        body.put("model", model).put("stream", !whole).put("max_tokens", maxTokens);
        body.putArray("messages").addObject().put("role", "user").put("content", text);
        CallerHttp http = new CallerHttp(options);
        HttpUriRequestBase request =
                http.request("POST", "/v1/chat/completions", "application/json", MAPPER.writeValueAsString(body));
        return raw ? http.run(request, out) : http.run(request, new ChatResponsePrinter(out)::print);
    }
}
