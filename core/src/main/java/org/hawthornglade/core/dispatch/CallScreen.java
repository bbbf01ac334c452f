package org.hawthornglade.core.dispatch;

import java.util.Optional;

/** Refuses calls that must not reach any endpoint. */
@FunctionalInterface
public interface CallScreen {
    /** Refuses nothing. */
    CallScreen NONE = (call, nowMs) -> Optional.empty();

    /** Returns the refusal of a call, if it must not be sent. */
    Optional<Decision.Refuse> screen(CallView call, long nowMs);
}
