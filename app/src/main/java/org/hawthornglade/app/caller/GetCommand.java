package org.hawthornglade.app.caller;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.io.IOException;
import java.io.PrintStream;
import org.apache.hc.client5.http.classic.methods.HttpGet;
import org.apache.hc.client5.http.impl.classic.CloseableHttpClient;
import org.apache.hc.client5.http.impl.classic.HttpClients;
import org.apache.hc.core5.http.HttpStatus;
import org.apache.hc.core5.http.io.entity.EntityUtils;
import org.hawthornglade.app.Command;
import org.hawthornglade.app.ExitCode;

/** Fetches a URI and prints its content, such as the log of a stand-in or the metrics of a process. */
@Parameters(
        commandDescription = "Prints the content of a URI, such as the log of a stand-in or the metrics of a process")
public final class GetCommand implements Command {
    @Parameter(description = "URI", required = true)
    private String uri;

    @Override
    public String name() {
        return "get";
    }

    @Override
    public ExitCode run(PrintStream out) throws IOException {
        try (CloseableHttpClient client = HttpClients.createDefault()) {
            return client.execute(new HttpGet(uri), response -> {
                out.println(EntityUtils.toString(response.getEntity()));
                return response.getCode() == HttpStatus.SC_OK ? ExitCode.OK : ExitCode.FAILED;
            });
        }
    }
}
