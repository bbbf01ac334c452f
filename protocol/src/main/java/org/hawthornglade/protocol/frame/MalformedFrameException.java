package org.hawthornglade.protocol.frame;

import java.io.IOException;

/** Signals that a peer sent data that is not the next frame of the attempt. */
public final class MalformedFrameException extends IOException {
    /** Creates the exception with a description of the fault. */
    public MalformedFrameException(String message) {
        super(message);
    }
}
