package org.hawthornglade.core.dispatch;

import java.util.OptionalLong;
import java.util.Set;
import org.hawthornglade.core.fleet.Endpoint;
import org.hawthornglade.core.result.ResultCode;

/** The next step of a call. */
public sealed interface Decision {
    /**
     * The call is sent to an endpoint.
     *
     * @param endpoint the target
     * @param cachedTokens the tokens of its prompt that are probably in the prefix cache there
     * @param reason why this endpoint was chosen, for the log
     */
    record Send(Endpoint endpoint, int cachedTokens, String reason) implements Decision {}

    /**
     * The call waits at this entry.
     *
     * @param reason what it waits for, for the log
     * @param expectedAtMs the expected end of the wait on the steady clock; empty if unknown
     */
    record Wait(String reason, OptionalLong expectedAtMs) implements Decision {
        private static final Set<String> NO_ROOM = Set.of("capacity", "slots");

        /** Creates a wait with an unknown end. */
        public Wait(String reason) {
            this(reason, OptionalLong.empty());
        }

        /** Returns whether the call waits because no endpoint that could run it has room. */
        public boolean forRoom() {
            return NO_ROOM.contains(reason);
        }
    }

    /**
     * The call waits at this entry for a permit of the leader.
     *
     * @param endpoint the target for which the permit is requested
     * @param briefly whether the call goes to another endpoint unless a permit is granted immediately
     * @param expectedAtMs when the permit is expected on the steady clock; empty if {@code briefly}
     */
    record AwaitPermit(Endpoint endpoint, boolean briefly, OptionalLong expectedAtMs) implements Decision {}

    /**
     * The call is refused and has not run.
     *
     * @param code the reason
     * @param retryAfterMs when the caller should retry, in milliseconds from now
     */
    record Refuse(ResultCode code, long retryAfterMs) implements Decision {}
}
