package org.hawthornglade.agent.attempt;

import java.io.IOException;

/** Tells that frames can no longer be written, as opposed to the endpoint failing. */
final class FrameSinkException extends IOException {
    FrameSinkException(IOException cause) {
        super(cause);
    }
}
