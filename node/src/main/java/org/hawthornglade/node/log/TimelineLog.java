package org.hawthornglade.node.log;

import com.google.common.flogger.FluentLogger;
import java.util.Locale;
import java.util.function.Consumer;
import org.hawthornglade.core.event.TimelineEvent;

/** Logs each timeline event as one line of key=value pairs. */
public final class TimelineLog implements Consumer<TimelineEvent> {
    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();

    @Override
    public void accept(TimelineEvent event) {
        LOG.atInfo().log("%s", line(event));
    }

    /** Returns the line for an event. */
    public static String line(TimelineEvent event) {
        StringBuilder line = new StringBuilder(160);
        append(line, "event", event.kind().name().toLowerCase(Locale.ROOT));
        append(line, "process", event.process());
        append(line, "seq", Long.toString(event.sequence()));
        append(line, "request", event.request());
        append(line, "attempt", event.attempt());
        append(line, "model", event.model());
        append(line, "instance", event.instance());
        append(line, "config", event.configVersion() == 0 ? null : Long.toString(event.configVersion()));
        append(line, "code", Integer.toString(event.code()));
        append(line, "detail", event.detail().isEmpty() ? null : event.detail());
        return line.toString();
    }

    private static void append(StringBuilder line, String key, String value) {
        if (value == null) {
            return;
        }
        if (line.length() > 0) {
            line.append(' ');
        }
        line.append(key).append('=').append(quoted(value));
    }

    private static String quoted(String value) {
        if (value.chars().noneMatch(c -> c <= ' ' || c == '"' || c == '=')) {
            return value;
        }
        return '"'
                + value.replace("\\", "\\\\")
                        .replace("\"", "\\\"")
                        .replace("\n", "\\n")
                        .replace("\r", "\\r")
                + '"';
    }
}
