import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;

/** Appends lines to the record of a case: the time in milliseconds, who writes, and what happened. */
final class CaseRecord {
    private final Path file;
    private final String who;

    CaseRecord(Path file, String who) {
        this.file = file;
        this.who = who;
    }

    synchronized void write(String event) {
        String line = System.currentTimeMillis() + " " + who + " " + event + "\n";
        try {
            Files.write(
                    file,
                    line.getBytes(StandardCharsets.UTF_8),
                    StandardOpenOption.CREATE,
                    StandardOpenOption.APPEND);
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }
}
