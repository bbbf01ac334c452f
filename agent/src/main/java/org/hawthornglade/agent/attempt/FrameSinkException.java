package org.hawthornglade.agent.attempt;

import java.io.IOException;

/** Signals that frames cannot be written to the entry, as opposed to a failure of the endpoint. */
final class FrameSinkException extends IOException {
    FrameSinkException(IOException cause) {
        super(cause);
    }
}
