package org.hawthornglade.entry.attempt;

import java.io.IOException;
import java.io.OutputStream;
import java.util.List;
import org.hawthornglade.core.entry.AttemptOutcome;
import org.hawthornglade.core.result.Failure;
import org.hawthornglade.core.result.ResultCode;
import org.hawthornglade.protocol.gen.Frame;
import org.hawthornglade.protocol.gen.FrameKind;
import org.hawthornglade.protocol.gen.Header;

/** A response whose head and first bytes have arrived and whose body is copied as it arrives; for use by one thread. */
public final class OpenResponse implements AutoCloseable {
    private final AttemptResponse response;
    private final Frame head;
    private final Frame first;

    /**
     * Creates an open response.
     *
     * @param head the head frame
     * @param first the frame after the head: data or the end mark
     */
    OpenResponse(AttemptResponse response, Frame head, Frame first) {
        this.response = response;
        this.head = head;
        this.first = first;
    }

    public int status() {
        return head.getStatus();
    }

    public List<Header> headers() {
        return head.getHeaders();
    }

    /**
     * Copies the body to a stream, flushing after each frame.
     *
     * @return how the attempt ended; complete only if the end mark arrived
     * @throws IOException if the caller can no longer be written to
     */
    public AttemptOutcome copyTo(OutputStream out) throws IOException {
        Frame frame = first;
        boolean started = false;
        while (frame.getKind() != FrameKind.COMPLETE) {
            if (frame.getKind() == FrameKind.FAILED) {
                return AttemptOutcome.unknown(FailureFrames.failure(frame), started);
            }
            if (frame.getKind() == FrameKind.DATA) {
                started = true;
                out.write(frame.getData());
                out.flush();
            }
            try {
                frame = response.nextFrame();
            } catch (IOException e) {
                return AttemptOutcome.unknown(
                        Failure.of(ResultCode.ANSWER_INCOMPLETE, "the response ended early: " + e.getMessage()),
                        started);
            }
        }
        return AttemptOutcome.complete();
    }

    @Override
    public void close() throws IOException {
        response.close();
    }
}
