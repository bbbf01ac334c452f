package org.hawthornglade.entry.attempt;

import java.io.IOException;
import org.apache.hc.client5.http.classic.methods.HttpPost;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.hawthornglade.protocol.frame.FrameReader;
import org.hawthornglade.protocol.gen.Frame;

/** An agent's answer to an attempt, read frame by frame; for use by one thread. */
public final class AttemptAnswer implements AutoCloseable {
    private final HttpPost post;
    private final ClassicHttpResponse response;
    private final FrameReader reader;
    private boolean ended;

    AttemptAnswer(HttpPost post, ClassicHttpResponse response, FrameReader reader) {
        this.post = post;
        this.response = response;
        this.reader = reader;
    }

    /**
     * Reads the next frame.
     *
     * @throws IOException if the connection fails or the frame is not the next one of the attempt
     */
    public Frame next() throws IOException {
        Frame frame = reader.next();
        ended = switch (frame.getKind()) {
            case REFUSED, COMPLETE, FAILED -> true;
            default -> false;
        };
        return frame;
    }

    /** Closes the connection if the answer was not read to its end, else keeps it for further attempts. */
    @Override
    public void close() throws IOException {
        if (!ended) {
            post.cancel();
        }
        response.close();
    }
}
