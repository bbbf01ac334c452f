package org.hawthornglade.entry.caller;

import static com.google.common.truth.Truth.assertThat;

import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.lang.reflect.Proxy;
import jakarta.ws.rs.core.HttpHeaders;
import org.hawthornglade.core.result.ResultCode;
import org.hawthornglade.core.time.ManualClock;
import org.junit.jupiter.api.Test;

final class BodyReaderTest {
    private static final int MAX_BYTES = 100;

    private final ManualClock clock = new ManualClock(0);
    private final BodyReader reader = new BodyReader(clock, MAX_BYTES, 1_000);

    @Test
    void readsABodyOfTheLargestSize() {
        assertThat(reader.read(length(-1), new ByteArrayInputStream(new byte[MAX_BYTES])).get())
                .hasLength(MAX_BYTES);
    }

    @Test
    void refusesADeclaredLengthWithoutReading() {
        InputStream untouched = new InputStream() {
            @Override
            public int read() {
                throw new AssertionError("read");
            }
        };
        assertThat(reader.read(length(MAX_BYTES + 1), untouched).getLeft().code()).isEqualTo(ResultCode.BODY_TOO_LARGE);
    }

    @Test
    void stopsReadingAnEndlessBody() {
        InputStream endless = new InputStream() {
            private int given;

            @Override
            public int read() {
                given++;
                assertThat(given).isLessThan(100_000);
                return 'x';
            }
        };
        assertThat(reader.read(length(-1), endless).getLeft().code()).isEqualTo(ResultCode.BODY_TOO_LARGE);
    }

    @Test
    void refusesASenderOfSingleBytes() {
        InputStream slow = new InputStream() {
            @Override
            public int read() {
                return 'x';
            }

            @Override
            public int read(byte[] buffer, int start, int size) {
                clock.advance(100);
                buffer[start] = 'x';
                return 1;
            }
        };
        assertThat(reader.read(length(-1), slow).getLeft().code()).isEqualTo(ResultCode.SLOW_SENDER);
    }

    @Test
    void refusesASenderWhoseConnectionTimesOut() {
        InputStream broken = new InputStream() {
            @Override
            public int read() throws IOException {
                throw new IOException("idle timeout");
            }
        };
        assertThat(reader.read(length(-1), broken).getLeft().code()).isEqualTo(ResultCode.SLOW_SENDER);
    }

    private static HttpHeaders length(int bytes) {
        return (HttpHeaders) Proxy.newProxyInstance(
                BodyReaderTest.class.getClassLoader(), new Class<?>[] {HttpHeaders.class}, (proxy, method, args) -> bytes);
    }
}
