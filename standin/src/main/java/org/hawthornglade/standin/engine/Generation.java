package org.hawthornglade.standin.engine;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/** Buffers the bytes of one answer while it is generated; any number of readers may read them from any offset. */
public final class Generation {
    private static final int INITIAL_CAPACITY = 1024;

    private final String id;
    private final InferenceRequest request;
    private final List<Runnable> readers = new ArrayList<>();
    private byte[] bytes = new byte[INITIAL_CAPACITY];
    private int length;
    private boolean ended;

    Generation(String id, InferenceRequest request) {
        this.id = id;
        this.request = request;
    }

    public String id() {
        return id;
    }

    public InferenceRequest request() {
        return request;
    }

    /** Adds bytes and notifies the readers; false if the answer has already ended. */
    boolean append(byte[] more, boolean last) {
        if (!add(more, last)) {
            return false;
        }
        readers().forEach(Runnable::run);
        return true;
    }

    private synchronized boolean add(byte[] more, boolean last) {
        if (ended) {
            return false;
        }
        if (length + more.length > bytes.length) {
            bytes = Arrays.copyOf(bytes, Math.max(bytes.length * 2, length + more.length));
        }
        System.arraycopy(more, 0, bytes, length, more.length);
        length += more.length;
        ended = last;
        return true;
    }

    private synchronized List<Runnable> readers() {
        return List.copyOf(readers);
    }

    /** Ends the answer without its end marker; false if it has already ended. */
    boolean abort() {
        return append(new byte[0], true);
    }

    /** Adds a reader that is notified of every change. */
    synchronized void addReader(Runnable reader) {
        readers.add(reader);
    }

    synchronized void removeReader(Runnable reader) {
        readers.remove(reader);
    }

    /** Returns the available bytes from an offset on, limited to a number of bytes. */
    synchronized byte[] read(int offset, int maxBytes) {
        if (offset >= length) {
            return new byte[0];
        }
        return Arrays.copyOfRange(bytes, offset, Math.min(length, offset + maxBytes));
    }

    /** Returns whether the answer has ended and an offset is at or beyond its end. */
    synchronized boolean endedAt(int offset) {
        return ended && offset >= length;
    }

    /** Returns whether the answer has ended. */
    public synchronized boolean ended() {
        return ended;
    }
}
