package org.hawthornglade.bench.emulator;

import org.hawthornglade.core.dispatch.CallView;
import org.hawthornglade.core.dispatch.PermitWaiter;

/** A call and its place in the permit queue. */
final class EmulatedCall {
    private final CallView view;
    private final PermitWaiter permitWaiter = new PermitWaiter();

    EmulatedCall(CallView view) {
        this.view = view;
    }

    CallView view() {
        return view;
    }

    PermitWaiter permitWaiter() {
        return permitWaiter;
    }
}
