package org.hawthornglade.protocol.frame;

import java.io.IOException;
import java.io.InputStream;
import org.apache.thrift.TConfiguration;
import org.apache.thrift.TException;
import org.apache.thrift.protocol.TCompactProtocol;
import org.apache.thrift.transport.TIOStreamTransport;
import org.apache.thrift.transport.TTransportException;
import org.hawthornglade.core.id.AttemptId;
import org.hawthornglade.protocol.gen.Frame;
import org.hawthornglade.protocol.gen.FrameKind;

/**
 * Reads one attempt's frames and checks that none is missing, out of order or of another attempt.
 *
 * <p>Not thread-safe; the caller closes the stream.
 */
public final class FrameReader {
    private static final int MAX_FRAME_BYTES = 4 * 1024 * 1024;
    private static final int MAX_DEPTH = 8;

    private final AttemptId attempt;
    private final TCompactProtocol protocol;
    private long offset;
    private boolean ended;

    /** Creates a reader of one attempt's frames. */
    public FrameReader(AttemptId attempt, InputStream in) {
        this.attempt = attempt;
        TConfiguration limits = new TConfiguration(MAX_FRAME_BYTES, MAX_FRAME_BYTES, MAX_DEPTH);
        try {
            this.protocol =
                    new TCompactProtocol(new PerReadLimitTransport(limits, in), MAX_FRAME_BYTES, MAX_FRAME_BYTES);
        } catch (TTransportException e) {
            throw new IllegalStateException("creating a stream transport failed", e);
        }
    }

    /**
     * Reads the next frame.
     *
     * @return the frame; its offset is the number of body bytes read before it
     * @throws MalformedFrameException if it belongs to another attempt, skips or repeats bytes, or follows the last
     *     frame
     * @throws IOException if the connection ends or fails before a complete frame has been read
     */
    public Frame next() throws IOException {
        if (ended) {
            throw new MalformedFrameException("received a frame after the last frame");
        }
        Frame frame = read();
        check(frame);
        if (frame.getKind() == FrameKind.DATA) {
            offset += frame.getData().length;
        }
        ended = frame.getKind() == FrameKind.COMPLETE
                || frame.getKind() == FrameKind.REFUSED
                || frame.getKind() == FrameKind.FAILED;
        return frame;
    }

    private Frame read() throws IOException {
        Frame frame = new Frame();
        try {
            frame.read(protocol);
        } catch (TTransportException e) {
            throw new IOException("the connection ended before the last frame of the answer", e);
        } catch (TException | RuntimeException e) {
            throw new MalformedFrameException("invalid frame: " + e.getMessage());
        }
        return frame;
    }

    private void check(Frame frame) throws MalformedFrameException {
        if (!frame.getAttemptId().equals(attempt.value())) {
            throw new MalformedFrameException("received a frame of attempt " + frame.getAttemptId());
        }
        if (frame.getOffset() != offset) {
            throw new MalformedFrameException("offset " + frame.getOffset() + " instead of " + offset);
        }
        if (frame.getKind() == FrameKind.DATA && !frame.isSetData()) {
            throw new MalformedFrameException("received a data frame without data");
        }
    }

    /** A stream transport that applies the message size limit to each read, not to all of the answer. */
    private static final class PerReadLimitTransport extends TIOStreamTransport {
        PerReadLimitTransport(TConfiguration limits, InputStream in) throws TTransportException {
            super(limits, in);
        }

        @Override
        public void updateKnownMessageSize(long size) {
            // The size of an answer is not known in advance.
        }

        @Override
        public void checkReadBytesAvailable(long numBytes) throws TTransportException {
            if (numBytes > MAX_FRAME_BYTES) {
                throw new TTransportException(TTransportException.CORRUPTED_DATA, "frame too large");
            }
        }
    }
}
