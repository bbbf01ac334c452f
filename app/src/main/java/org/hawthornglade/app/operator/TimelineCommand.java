package org.hawthornglade.app.operator;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import java.io.IOException;
import java.io.PrintStream;
import java.time.Instant;
import java.time.ZoneOffset;
import java.time.format.DateTimeFormatter;
import java.util.List;
import java.util.Locale;
import org.hawthornglade.app.Command;
import org.hawthornglade.app.ExitCode;
import org.hawthornglade.core.event.TimelineEvent;
import org.hawthornglade.entry.operator.MergedTimeline;

/** Prints the events of all processes, merged in order of time. */
@Parameters(commandDescription = "Prints the events of all processes, merged in order of time")
public final class TimelineCommand implements Command {
    @ParametersDelegate
    private final OperatorOptions options = new OperatorOptions();

    private static final DateTimeFormatter TIME =
            DateTimeFormatter.ofPattern("HH:mm:ss.SSS").withZone(ZoneOffset.UTC);

    @Parameter(names = "--request", description = "Only events of this request")
    private String request;

    @Parameter(names = "--model", description = "Only events of this model, adapter or service")
    private String model;

    @Parameter(names = "--instance", description = "Only events of this instance")
    private String instance;

    @Parameter(names = "--from-ms", description = "Only events at or after this time, in ms since the Unix epoch")
    private long fromMs;

    @Parameter(names = "--to-ms", description = "Only events before this time, in ms since the Unix epoch")
    private long toMs = Long.MAX_VALUE;

    @Override
    public String name() {
        return "timeline";
    }

    @Override
    public ExitCode run(PrintStream out) throws IOException {
        StringBuilder query = new StringBuilder("?fromMs=" + fromMs + "&toMs=" + toMs);
        append(query, "request", request);
        append(query, "model", model);
        append(query, "instance", instance);
        OperatorResponse response = new OperatorHttp(options).get("/operator/timeline" + query);
        return new ResponseWriter(options, out).write(response, MergedTimeline.class, timeline -> print(timeline, out));
    }

    /** Formats the time of day of an event, in UTC. */
    static String formatTime(long timeMs) {
        return TIME.format(Instant.ofEpochMilli(timeMs));
    }

    static void printMissing(List<String> missing, PrintStream out) {
        if (!missing.isEmpty()) {
            out.println("missing the events of processes that did not respond: " + String.join(" ", missing));
        }
    }

    private static void append(StringBuilder query, String name, String value) {
        if (value != null) {
            query.append('&').append(name).append('=').append(OperatorHttp.encode(value));
        }
    }

    private static void print(MergedTimeline timeline, PrintStream out) {
        TextTable table = new TextTable("time", "process", "event", "request", "model", "instance", "code", "detail");
        for (TimelineEvent event : timeline.events()) {
            table.addRow(
                    formatTime(event.timeMs()),
                    event.process(),
                    event.kind().name().toLowerCase(Locale.ROOT),
                    event.request(),
                    event.model(),
                    event.instance(),
                    event.code() == 0 ? "" : event.code(),
                    event.detail());
        }
        table.print("events of all processes, times in UTC", out);
        printMissing(timeline.missing(), out);
    }
}
