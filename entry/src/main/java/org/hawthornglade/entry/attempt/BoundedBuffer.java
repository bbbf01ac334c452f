package org.hawthornglade.entry.attempt;

import java.io.ByteArrayOutputStream;
import java.io.IOException;

/** Buffers bytes up to a limit. */
final class BoundedBuffer extends ByteArrayOutputStream {
    private final int maxBytes;

    BoundedBuffer(int maxBytes) {
        this.maxBytes = maxBytes;
    }

    @Override
    public void write(byte[] bytes) throws IOException {
        if (size() + bytes.length > maxBytes) {
            throw new IOException("the response is larger than " + maxBytes + " bytes");
        }
        super.write(bytes);
    }
}
