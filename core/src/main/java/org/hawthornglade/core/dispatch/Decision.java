package org.hawthornglade.core.dispatch;

import java.util.OptionalLong;
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
     * @param expectedAtMs when that is expected on the steady clock; nothing if that is not known
     */
    record Wait(String reason, OptionalLong expectedAtMs) implements Decision {
        /** Creates a wait whose end is not known. */
        public Wait(String reason) {
            this(reason, OptionalLong.empty());
        }
    }

    /**
     * It waits at this entry for a permit of the leader.
     *
     * @param endpoint where it would be sent
     * @param briefly whether it takes another way if there is no permit at once
     * @param expectedAtMs when its turn is expected on the steady clock; nothing if it does not wait for its turn
     */
    record AwaitPermit(Endpoint endpoint, boolean briefly, OptionalLong expectedAtMs) implements Decision {}

    /**
     * It is refused and has not run.
     *
     * @param code why
     * @param retryAfterMs when to come back, from now
     */
    record Refuse(ResultCode code, long retryAfterMs) implements Decision {}
}
