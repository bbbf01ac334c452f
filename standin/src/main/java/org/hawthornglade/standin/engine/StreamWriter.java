package org.hawthornglade.standin.engine;

import jakarta.servlet.AsyncContext;
import jakarta.servlet.ServletOutputStream;
import jakarta.servlet.WriteListener;
import jakarta.servlet.http.HttpServletRequest;
import java.io.IOException;
import org.hawthornglade.standin.http.Connections;

/** Writes an answer to one connection while it is generated, without blocking a thread. */
final class StreamWriter implements WriteListener {
    private static final int MAX_WRITE_BYTES = 16 * 1024;
    private static final int WRITES_BEFORE_CUT = 2;

    private final AsyncContext context;
    private final ServletOutputStream out;
    private final Generation generation;
    private final Runnable reader = this::pump;
    private final boolean cutsMidStream;
    private int offset;
    private int writes;
    private boolean unflushed;
    private boolean done;

    StreamWriter(AsyncContext context, Generation generation, int offset, boolean cutsHalfWay) throws IOException {
        this.context = context;
        this.out = context.getResponse().getOutputStream();
        this.generation = generation;
        this.offset = offset;
        this.cutsMidStream = cutsHalfWay;
    }

    void start() {
        generation.addReader(reader);
        out.setWriteListener(this);
    }

    @Override
    public void onWritePossible() {
        pump();
    }

    @Override
    public void onError(Throwable cause) {
        stop();
    }

    private synchronized void pump() {
        try {
            while (!done && out.isReady()) {
                if (!step()) {
                    return;
                }
            }
        } catch (IOException | IllegalStateException e) {
            stop();
        }
    }

    /** Writes, flushes or ends the stream; false if nothing can be done now. */
    private boolean step() throws IOException {
        byte[] next = generation.read(offset, MAX_WRITE_BYTES);
        if (next.length > 0) {
            out.write(next);
            offset += next.length;
            unflushed = true;
            writes++;
            return true;
        }
        if (unflushed) {
            unflushed = false;
            out.flush();
            return true;
        }
        if (cutsMidStream && writes >= WRITES_BEFORE_CUT) {
            stop();
            return false;
        }
        if (generation.endedAt(offset)) {
            stop();
        }
        return false;
    }

    private synchronized void stop() {
        if (done) {
            return;
        }
        done = true;
        generation.removeReader(reader);
        if (cutsMidStream) {
            Connections.abort((HttpServletRequest) context.getRequest());
        }
        context.complete();
    }
}
