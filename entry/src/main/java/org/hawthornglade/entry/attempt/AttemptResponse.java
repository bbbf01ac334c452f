package org.hawthornglade.entry.attempt;

import java.io.Closeable;
import java.io.IOException;
import org.hawthornglade.protocol.frame.FrameReader;
import org.hawthornglade.protocol.gen.Frame;

/** An agent's response to an attempt, read frame by frame by one thread; {@link #abort} may be called by any thread. */
public final class AttemptResponse implements AutoCloseable {
    private final FrameReader reader;
    private final Runnable abort;
    private final Closeable connection;
    private boolean ended;

    /**
     * Creates a response.
     *
     * @param reader reads the frames
     * @param abort aborts the connection, so that it is not reused
     * @param connection the connection to close; closing it after the last frame returns it to the pool
     */
    public AttemptResponse(FrameReader reader, Runnable abort, Closeable connection) {
        this.reader = reader;
        this.abort = abort;
        this.connection = connection;
    }

    /**
     * Reads the next frame.
     *
     * @throws IOException if the connection fails or sends nothing for too long, or the frame is not the next frame of
     *     the attempt
     */
    public Frame nextFrame() throws IOException {
        Frame frame = reader.next();
        ended = switch (frame.getKind()) {
            case REFUSED, COMPLETE, FAILED -> true;
            default -> false;
        };
        return frame;
    }

    /** Aborts the connection, which makes a blocked {@link #nextFrame} fail. */
    public void abort() {
        abort.run();
    }

    /** Aborts the connection if the response was not read to its end; otherwise keeps it for further attempts. */
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
            // Expected: closing reads the rest of the response, which fails on an aborted connection.
            return;
        }
    }
}
