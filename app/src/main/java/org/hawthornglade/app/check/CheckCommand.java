package org.hawthornglade.app.check;

import static java.nio.charset.StandardCharsets.UTF_8;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.hawthornglade.app.Command;
import org.hawthornglade.app.ExitCode;

/** Validates a settings file and reports all of its faults. */
@Parameters(commandDescription = "Validates a settings file and reports all of its faults")
public final class CheckCommand implements Command {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    @Parameter(names = "--role", required = true, description = "Kind of the file: entry, agent, standin or intent")
    private Role role;

    @Parameter(names = "--json", description = "Prints the faults as JSON")
    private boolean json;

    @Parameter(description = "FILE", required = true)
    private String file;

    @Override
    public String name() {
        return "check";
    }

    @Override
    public ExitCode run(PrintStream out) throws IOException {
        String text = Files.readString(Path.of(file), UTF_8);
        List<SettingsFault> faults = SettingsChecker.check(text, role, System.getenv());
        if (json) {
            out.println(MAPPER.writerWithDefaultPrettyPrinter().writeValueAsString(faults));
        } else {
            faults.forEach(fault -> out.println(format(fault)));
            out.println(faults.isEmpty() ? file + " is valid" : faults.size() + " faults");
        }
        return faults.isEmpty() ? ExitCode.OK : ExitCode.REFUSED;
    }

    private String format(SettingsFault fault) {
        return file + ":" + fault.line() + ": " + (fault.path().isEmpty() ? "" : fault.path() + ": ") + fault.message();
    }
}
