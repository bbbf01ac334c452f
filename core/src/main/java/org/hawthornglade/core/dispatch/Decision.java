package org.hawthornglade.core.dispatch;

import org.hawthornglade.core.fleet.Endpoint;
import org.hawthornglade.core.result.ResultCode;

/** What happens to a call next. */
public sealed interface Decision {
    /**
     * It is sent.
     *
     * @param endpoint where to
     * @param cachedTokens how much of its prompt is probably kept there
     * @param reason why there, for the log
     */
    record Send(Endpoint endpoint, int cachedTokens, String reason) implements Decision {}

    /**
     * It waits at this entry.
     *
     * @param reason what for, for the log
     */
    record Wait(String reason) implements Decision {}

    /**
     * It is refused and has not run.
     *
     * @param code why
     * @param retryAfterMs when to come back, from now
     */
    record Refuse(ResultCode code, long retryAfterMs) implements Decision {}
}
