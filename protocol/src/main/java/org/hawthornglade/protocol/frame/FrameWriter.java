package org.hawthornglade.protocol.frame;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.ByteBuffer;
import java.util.List;
import org.apache.thrift.TException;
import org.apache.thrift.protocol.TCompactProtocol;
import org.apache.thrift.transport.TIOStreamTransport;
import org.apache.thrift.transport.TTransportException;
import org.hawthornglade.core.id.AttemptId;
import org.hawthornglade.core.result.Failure;
import org.hawthornglade.protocol.gen.Frame;
import org.hawthornglade.protocol.gen.FrameKind;
import org.hawthornglade.protocol.gen.Header;

/**
 * Writes one attempt's answer as frames.
 *
 * <p>Not thread-safe; the stream is flushed after each frame, and the caller closes it.
 */
public final class FrameWriter {
    private final AttemptId attempt;
    private final OutputStream out;
    private final TCompactProtocol protocol;
    private long offset;

    /** Creates a writer of one attempt's frames. */
    public FrameWriter(AttemptId attempt, OutputStream out) {
        this.attempt = attempt;
        this.out = out;
        try {
            this.protocol = new TCompactProtocol(new TIOStreamTransport(out));
        } catch (TTransportException e) {
            throw new IllegalStateException("creating a stream transport failed", e);
        }
    }

    /** Returns the number of body bytes written so far. */
    public long offset() {
        return offset;
    }

    /** Writes the last frame of an attempt that was not started. */
    public void refused(Failure failure) throws IOException {
        write(failed(FrameKind.REFUSED, failure));
    }

    /** Writes the last frame of an attempt that failed after its start. */
    public void failed(Failure failure) throws IOException {
        write(failed(FrameKind.FAILED, failure));
    }

    /** Writes the status and headers of the endpoint's answer. */
    public void head(int status, List<Header> headers) throws IOException {
        write(frame(FrameKind.HEAD).setStatus(status).setHeaders(headers));
    }

    /** Writes body bytes of the endpoint's answer. */
    public void data(byte[] bytes, int start, int length) throws IOException {
        write(frame(FrameKind.DATA).setData(ByteBuffer.wrap(bytes, start, length)));
        offset += length;
    }

    /** Writes the last frame of a complete answer. */
    public void end() throws IOException {
        write(frame(FrameKind.COMPLETE));
    }

    /** Writes a keep-alive frame, which shows that the attempt is still running. */
    public void keepAlive() throws IOException {
        write(frame(FrameKind.KEEP_ALIVE));
    }

    private Frame failed(FrameKind kind, Failure failure) {
        return frame(kind)
                .setCode(failure.code().number())
                .setMessage(failure.message())
                .setRetryAfterMs(failure.retryAfterMs());
    }

    private Frame frame(FrameKind kind) {
        return new Frame(kind, attempt.value(), offset);
    }

    private void write(Frame frame) throws IOException {
        try {
            frame.write(protocol);
        } catch (TException e) {
            throw new IOException(e);
        }
        out.flush();
    }
}
