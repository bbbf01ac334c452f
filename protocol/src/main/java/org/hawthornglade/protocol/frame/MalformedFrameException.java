package org.hawthornglade.protocol.frame;

import java.io.IOException;

/** Tells that a peer sent something that is no next frame of the attempt. */
public final class MalformedFrameException extends IOException {
    /** Creates the exception with what was wrong. */
    public MalformedFrameException(String message) {
        super(message);
    }
}
