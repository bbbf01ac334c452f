package org.hawthornglade.gateway.log;

/** Builds one line of the log. */
public final class LogLine {
    private static final int INITIAL_CAPACITY = 160;

    private final EventLog log;
    private final long atMs;
    private final StringBuilder text = new StringBuilder(INITIAL_CAPACITY);

    LogLine(EventLog log, String name) {
        this.log = log;
        this.atMs = log.nowMs();
        text.append("at=").append(atMs).append(" event=").append(name);
    }

    /** Adds a field; a value with blanks, quotes, equals signs or control characters is quoted. */
    public LogLine with(String key, Object value) {
        text.append(' ').append(key).append('=');
        String written = String.valueOf(value);
        if (written.chars().noneMatch(c -> c <= ' ' || c == '"' || c == '=')) {
            text.append(written);
            return this;
        }
        text.append('"');
        written.chars().forEach(c -> text.append(c < ' ' || c == '"' ? ' ' : (char) c));
        text.append('"');
        return this;
    }

    /** Completes the line and passes it to the log. */
    public void write() {
        log.stopStartedMs().ifPresent(startedMs -> with("stop_ms", atMs - startedMs));
        log.add(text.toString());
    }
}
