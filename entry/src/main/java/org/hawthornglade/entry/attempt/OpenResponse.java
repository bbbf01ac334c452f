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

/** An answer whose head and first bytes have come and whose body is passed on as it comes; for use by one thread. */
public final class OpenResponse implements AutoCloseable {
    private final AttemptResponse answer;
    private final Frame head;
    private final Frame first;

    /**
     * Creates an open answer.
     *
     * @param head the head
     * @param first the frame after it: data or the end mark
     */
    OpenResponse(AttemptResponse answer, Frame head, Frame first) {
        this.answer = answer;
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
     * Passes the body on, flushing after each part.
     *
     * @return how the attempt ended; complete only if the end mark came
     * @throws IOException if the caller can no longer be written to
     */
    public AttemptOutcome copyTo(OutputStream out) throws IOException {
        Frame frame = first;
        boolean begun = false;
        while (frame.getKind() != FrameKind.COMPLETE) {
            if (frame.getKind() == FrameKind.FAILED) {
                return AttemptOutcome.unknown(FailureFrames.failure(frame), begun);
            }
            if (frame.getKind() == FrameKind.DATA) {
                begun = true;
                out.write(frame.getData());
                out.flush();
            }
            try {
                frame = answer.nextFrame();
            } catch (IOException e) {
                return AttemptOutcome.unknown(
                        Failure.of(ResultCode.ANSWER_INCOMPLETE, "the answer broke off: " + e.getMessage()), begun);
            }
        }
        return AttemptOutcome.complete();
    }

    @Override
    public void close() throws IOException {
        answer.close();
    }
}
