package org.hawthornglade.app.gateway;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.io.IOException;
import java.io.PrintStream;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import org.hawthornglade.app.Command;
import org.hawthornglade.app.ExitCode;
import org.hawthornglade.core.stop.ProcessLifecycle;
import org.hawthornglade.core.time.Clock;
import org.hawthornglade.gateway.GatewaySettings;
import org.hawthornglade.platform.SettingsFile;
import org.hawthornglade.platform.standin.StandinPlatform;

/** Runs a gateway and a stand-in platform in one process, makes calls of each kind and exits. */
@Parameters(commandDescription = "Makes calls of each kind through a gateway to a stand-in platform and exits")
public final class RehearsalCommand implements Command {
    private static final int ROUNDS = 12;
    private static final Duration CALL_TIMEOUT = Duration.ofSeconds(10);
    private static final int GATEWAY_PORT_COUNT = 10;

    @Parameter(names = "--port", description = "The first of 20 free ports on loopback")
    private int firstPort = 28_400;

    @Override
    public String name() {
        return "rehearsal";
    }

    @Override
    public ExitCode run(PrintStream out) throws Exception {
        Clock clock = Clock.system();
        ProcessLifecycle lifecycle = new ProcessLifecycle(clock);
        HangupSignal.install(lifecycle::requestReload);
        GatewayProcess process = new GatewayProcess(clock, this::settings, out);
        new StandinPlatform(process.loop(), process.timers(), clock, firstPort + GATEWAY_PORT_COUNT).start();
        lifecycle.start(process);
        int failed = 0;
        HttpClient client = HttpClient.newHttpClient();
        for (int round = 0; round < ROUNDS; round++) {
            failed += call(client, "/chat/x", "m" + (1 + round % 3) + (round % 4 == 0 ? "/a1" : ""), round);
            failed += call(client, "/read/x", "none", round);
            failed += call(client, "/post/x", "none", round);
        }
        out.println("calls: " + 3 * ROUNDS + ", failed: " + failed);
        lifecycle.stop();
        return failed == 0 ? ExitCode.OK : ExitCode.FAILED;
    }

    /** Writes the settings to a file and reads them as on the platform, so that the settings reader is covered too. */
    private GatewaySettings settings() throws IOException {
        Path file = Files.createTempFile("rehearsal", ".json");
        try {
            Files.writeString(file, StandinPlatform.settings(firstPort, firstPort + GATEWAY_PORT_COUNT));
            return SettingsFile.read(file);
        } finally {
            Files.delete(file);
        }
    }

    private int call(HttpClient client, String path, String model, int round) throws IOException, InterruptedException {
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + firstPort + path))
                .timeout(CALL_TIMEOUT)
                .headers(StandinPlatform.requestHeaders("rehearsal-" + round, model))
                .POST(HttpRequest.BodyPublishers.ofString("{}"))
                .build();
        HttpResponse<String> response = client.send(request, HttpResponse.BodyHandlers.ofString());
        return response.statusCode() == 200 ? 0 : 1;
    }
}
