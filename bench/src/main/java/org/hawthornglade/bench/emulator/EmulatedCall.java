package org.hawthornglade.bench.emulator;

import org.hawthornglade.core.dispatch.CallView;

/** A call and how it ended. */
final class EmulatedCall {
    private final CallView view;
    private boolean ended;

    EmulatedCall(CallView view) {
        this.view = view;
    }

    CallView view() {
        return view;
    }

    boolean ended() {
        return ended;
    }

    void end() {
        ended = true;
    }
}
