package org.hawthornglade.bench.emulator;

import org.hawthornglade.core.dispatch.CallView;
import org.hawthornglade.core.dispatch.PermitQueue;

/** A call and where it stands. */
final class EmulatedCall {
    private final CallView view;
    private final PermitQueue queue = new PermitQueue();

    EmulatedCall(CallView view) {
        this.view = view;
    }

    CallView view() {
        return view;
    }

    PermitQueue queue() {
        return queue;
    }
}
