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

/** An answer whose head has come and whose body is passed on as it comes; for use by one thread. */
public final class OpenAnswer implements AutoCloseable {
    private final AttemptAnswer answer;
    private final Frame head;

    OpenAnswer(AttemptAnswer answer, Frame head) {
        this.answer = answer;
        this.head = head;
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
     * @return how the attempt ended
     * @throws IOException if the caller can no longer be written to
     */
    public AttemptOutcome passOn(OutputStream out) throws IOException {
        boolean begun = false;
        while (true) {
            Frame frame;
            try {
                frame = answer.next();
            } catch (IOException e) {
                return AttemptOutcome.unknown(Failure.of(ResultCode.ANSWER_INCOMPLETE, e.getMessage()), begun);
            }
            if (frame.getKind() == FrameKind.COMPLETE) {
                return AttemptOutcome.complete();
            }
            if (frame.getKind() == FrameKind.FAILED) {
                return AttemptOutcome.unknown(Frames.failure(frame), begun);
            }
            if (frame.getKind() == FrameKind.DATA) {
                begun = true;
                out.write(frame.getData());
                out.flush();
            }
        }
    }

    @Override
    public void close() throws IOException {
        answer.close();
    }
}
