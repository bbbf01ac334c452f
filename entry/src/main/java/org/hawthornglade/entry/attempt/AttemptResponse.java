package org.hawthornglade.entry.attempt;

import java.io.Closeable;
import java.io.IOException;
import org.hawthornglade.protocol.frame.FrameReader;
import org.hawthornglade.protocol.gen.Frame;

/** An agent's answer to an attempt, read frame by frame by one thread; {@link #abort} may come from any thread. */
public final class AttemptResponse implements AutoCloseable {
    private final FrameReader reader;
    private final Runnable abort;
    private final Closeable connection;
    private boolean ended;

    /**
     * Creates an answer.
     *
     * @param reader reads its frames
     * @param stop breaks the connection off, so that it is never used again
     * @param connection closed at the end, or kept for further attempts
     */
    public AttemptResponse(FrameReader reader, Runnable stop, Closeable connection) {
        this.reader = reader;
        this.abort = stop;
        this.connection = connection;
    }

    /**
     * Reads the next frame.
     *
     * @throws IOException if the connection fails or is silent for too long, or the frame is not the next one of the
     *     attempt
     */
    public Frame nextFrame() throws IOException {
        Frame frame = reader.next();
        ended = switch (frame.getKind()) {
            case REFUSED, COMPLETE, FAILED -> true;
            default -> false;
        };
        return frame;
    }

    /** Breaks the connection off, which makes a waiting {@link #nextFrame} fail. */
    public void abort() {
        abort.run();
    }

    /** Breaks the connection off if the answer was not read to its end, else keeps it for further attempts. */
    @Override
    public void close() throws IOException {
        if (ended) {
            connection.close();
            return;
        }
        abort.run();
        try {
            connection.close();
        } catch (IOException e) {
            // It was broken off, so that reading its rest has to fail.
            return;
        }
    }
}
