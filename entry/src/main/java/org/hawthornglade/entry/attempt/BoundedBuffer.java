package org.hawthornglade.entry.attempt;

import java.io.ByteArrayOutputStream;
import java.io.IOException;

/** Collects bytes up to a limit. */
final class BoundedBuffer extends ByteArrayOutputStream {
    private final int maxBytes;

    BoundedBuffer(int maxBytes) {
        this.maxBytes = maxBytes;
    }

    @Override
    public void write(byte[] bytes) throws IOException {
        if (size() + bytes.length > maxBytes) {
            throw new IOException("the answer is larger than " + maxBytes + " bytes");
        }
        super.write(bytes);
    }
}
