package review;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** Writes what was sent, answered and run into the record of a case. */
final class Record {
    private static final long START_NS = System.nanoTime();

    private final PrintWriter out;

    Record(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file), true);
    }

    static long nowMs() {
        return (System.nanoTime() - START_NS) / 1_000_000;
    }

    synchronized void line(String text) {
        out.printf("%9.3f %s%n", nowMs() / 1_000.0, text);
    }
}
