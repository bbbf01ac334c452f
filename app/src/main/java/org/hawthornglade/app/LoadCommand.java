package org.hawthornglade.app;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.io.IOException;
import java.io.PrintStream;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.apache.commons.text.StringSubstitutor;
import org.hawthornglade.app.load.LoadReport;
import org.hawthornglade.app.load.LoadRunner;
import org.hawthornglade.app.load.LoadSettings;
import org.hawthornglade.app.load.ReportTable;
import org.hawthornglade.core.time.Clock;
import org.hawthornglade.ports.http.PlatformJson;

/** Sends open-loop load to entries and reports the outcomes of the requests. */
@Parameters(commandDescription = "Sends open-loop load to entries and reports the outcomes of the requests")
final class LoadCommand implements Command {
    @Parameter(description = "SETTINGS-FILE", required = true)
    private String settingsFile;

    @Parameter(names = "--entry", description = "Address of an entry; may be repeated; overrides the settings")
    private List<String> entries = new ArrayList<>();

    @Parameter(names = "--direct", description = "Address of an engine for direct calls; overrides the settings")
    private String direct;

    @Parameter(
            names = "--executions",
            description = "Address of a plain service stand-in whose log records the executed calls; may be repeated")
    private List<String> executions = new ArrayList<>();

    @Parameter(names = "--json", description = "Prints the report as JSON")
    private boolean json;

    @Override
    public String name() {
        return "load";
    }

    @Override
    public ExitCode run(PrintStream out) throws Exception {
        LoadSettings settings = settings();
        List<String> faults = settings.faults();
        if (!faults.isEmpty()) {
            throw new IOException(settingsFile + ": " + String.join("; ", faults));
        }
        String runId = "load-" + Long.toString(Clock.system().nowMs(), Character.MAX_RADIX);
        LoadReport report = new LoadRunner(settings, runId).run();
        out.println(json ? PlatformJson.write(report) : ReportTable.of(report));
        return report.clean() ? ExitCode.OK : ExitCode.FAILED;
    }

    private LoadSettings settings() throws IOException {
        String text = new StringSubstitutor(System.getenv()).replace(Files.readString(Path.of(settingsFile)));
        return LoadSettings.parse(text)
                .withAddresses(
                        entries.stream().map(URI::create).toList(),
                        direct == null ? null : URI.create(direct),
                        executions.stream().map(URI::create).toList());
    }
}
