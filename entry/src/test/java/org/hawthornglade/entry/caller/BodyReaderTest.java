package org.hawthornglade.entry.caller;

import static com.google.common.truth.Truth.assertThat;

import jakarta.ws.rs.core.HttpHeaders;
import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.lang.reflect.Proxy;
import java.util.concurrent.atomic.AtomicInteger;
import org.hawthornglade.core.result.ResultCode;
import org.hawthornglade.core.time.ManualClock;
import org.junit.jupiter.api.Test;

final class BodyReaderTest {
    private static final int MAX_BYTES = 100;

    private final ManualClock clock = new ManualClock(0);
    private final BodyReader reader = new BodyReader(clock, MAX_BYTES, 1_000);

    @Test
    void readsABodyOfTheLargestSize() {
        assertThat(reader.read(length(-1), new ByteArrayInputStream(new byte[MAX_BYTES]))
                        .get())
                .hasLength(MAX_BYTES);
    }

    @Test
    void rejectsAnOversizedContentLengthWithoutReading() {
        InputStream untouched = stream((buffer, start, size) -> {
            throw new AssertionError("read");
        });
        assertThat(codeOf(length(MAX_BYTES + 1), untouched)).isEqualTo(ResultCode.BODY_TOO_LARGE);
    }

    @Test
    void stopsReadingAnEndlessBody() {
        AtomicInteger given = new AtomicInteger();
        InputStream endless = stream((buffer, start, size) -> {
            assertThat(given.addAndGet(size)).isLessThan(100_000);
            return size;
        });
        assertThat(codeOf(length(-1), endless)).isEqualTo(ResultCode.BODY_TOO_LARGE);
    }

    @Test
    void rejectsASenderOfSingleBytes() {
        InputStream slow = stream((buffer, start, size) -> {
            clock.advance(100);
            return 1;
        });
        assertThat(codeOf(length(-1), slow)).isEqualTo(ResultCode.SLOW_SENDER);
    }

    @Test
    void rejectsASenderWhoseConnectionTimesOut() {
        InputStream broken = stream((buffer, start, size) -> {
            throw new IOException("idle timeout");
        });
        assertThat(codeOf(length(-1), broken)).isEqualTo(ResultCode.SLOW_SENDER);
    }

    private ResultCode codeOf(HttpHeaders headers, InputStream in) {
        return reader.read(headers, in).getLeft().code();
    }

    private static HttpHeaders length(int bytes) {
        return (HttpHeaders) Proxy.newProxyInstance(
                BodyReaderTest.class.getClassLoader(),
                new Class<?>[] {HttpHeaders.class},
                (proxy, method, args) -> bytes);
    }

    private static InputStream stream(Read read) {
        return new InputStream() {
            @Override
            public int read() throws IOException {
                return read.into(new byte[1], 0, 1);
            }

            @Override
            public int read(byte[] buffer, int start, int size) throws IOException {
                return read.into(buffer, start, size);
            }
        };
    }

    @FunctionalInterface
    private interface Read {
        int into(byte[] buffer, int start, int size) throws IOException;
    }
}
