package org.hawthornglade.standin.engine;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/** The bytes of one answer as they come about; any number of readers may follow them from any offset. */
public final class Generation {
    private static final int FIRST_CAPACITY = 1024;

    private final String id;
    private final InferenceRequest request;
    private final List<Runnable> readers = new ArrayList<>();
    private byte[] bytes = new byte[FIRST_CAPACITY];
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

    /** Adds bytes and tells the readers; false if the answer has ended already. */
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

    /** Ends the answer without its end mark; false if it has ended already. */
    boolean abort() {
        return append(new byte[0], true);
    }

    /** Adds a reader that is told of every change. */
    synchronized void addReader(Runnable reader) {
        readers.add(reader);
    }

    synchronized void removeReader(Runnable reader) {
        readers.remove(reader);
    }

    /** Returns what there is from an offset on, at most so many bytes. */
    synchronized byte[] read(int offset, int atMost) {
        if (offset >= length) {
            return new byte[0];
        }
        return Arrays.copyOfRange(bytes, offset, Math.min(length, offset + atMost));
    }

    /** Returns whether an offset lies at or behind the end of an answer that has ended. */
    synchronized boolean endedAt(int offset) {
        return ended && offset >= length;
    }

    /** Returns whether the answer grows no more. */
    public synchronized boolean ended() {
        return ended;
    }
}
