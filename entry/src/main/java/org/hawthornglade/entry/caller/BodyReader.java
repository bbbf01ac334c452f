package org.hawthornglade.entry.caller;

import io.vavr.control.Either;
import jakarta.ws.rs.core.HttpHeaders;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import org.hawthornglade.core.result.Failure;
import org.hawthornglade.core.result.ResultCode;
import org.hawthornglade.core.time.Clock;

/** Reads the bodies of callers' requests, within limits on size and time. */
public final class BodyReader {
    private static final int BUFFER_BYTES = 8 * 1024;

    private final Clock clock;
    private final int maxBytes;
    private final long maxReadMs;

    /**
     * Creates a reader.
     *
     * @param maxBytes the largest body that is accepted, in bytes
     * @param maxReadMs how long the caller may take to send a body, in milliseconds
     */
    public BodyReader(Clock clock, int maxBytes, long maxReadMs) {
        this.clock = clock;
        this.maxBytes = maxBytes;
        this.maxReadMs = maxReadMs;
    }

    /** Reads a whole body; left with BODY_TOO_LARGE or SLOW_SENDER, in which case the rest is not read. */
    public Either<Failure, byte[]> read(HttpHeaders headers, InputStream in) {
        if (headers.getLength() > maxBytes) {
            return Either.left(tooLarge());
        }
        long untilMs = clock.nowMs() + maxReadMs;
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        byte[] buffer = new byte[BUFFER_BYTES];
        try {
            int read = in.read(buffer);
            while (read >= 0) {
                body.write(buffer, 0, read);
                if (body.size() > maxBytes) {
                    return Either.left(tooLarge());
                }
                if (clock.nowMs() >= untilMs) {
                    return Either.left(tooSlow());
                }
                read = in.read(buffer);
            }
        } catch (IOException e) {
            // Either the server's idle timeout expired, or the caller disconnected and gets no response.
            return Either.left(tooSlow());
        }
        return Either.right(body.toByteArray());
    }

    private Failure tooLarge() {
        return Failure.of(ResultCode.BODY_TOO_LARGE, "the body is larger than " + maxBytes + " bytes");
    }

    private Failure tooSlow() {
        return Failure.of(ResultCode.SLOW_SENDER, "the body did not arrive within " + maxReadMs + " ms");
    }
}
