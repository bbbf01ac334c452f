package org.hawthornglade.bench.emulator;

import org.hawthornglade.core.dispatch.CallView;
import org.hawthornglade.core.dispatch.PermitWaiter;

/** A call and where it stands. */
final class EmulatedCall {
    private final CallView view;
    private final PermitWaiter queue = new PermitWaiter();

    EmulatedCall(CallView view) {
        this.view = view;
    }

    CallView view() {
        return view;
    }

    PermitWaiter queue() {
        return queue;
    }
}
