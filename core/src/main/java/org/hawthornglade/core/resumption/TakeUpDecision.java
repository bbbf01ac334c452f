package org.hawthornglade.core.resumption;

import org.hawthornglade.core.result.ResultCode;

/** Whether a stream that a caller takes up may go on. */
public sealed interface TakeUpDecision {
    /**
     * The stream goes on at the version that began it.
     *
     * @param origin where it began
     * @param source how this was found out
     */
    record GoOn(StreamOrigin origin, Source source) implements TakeUpDecision {}

    /**
     * The stream is refused and does not run.
     *
     * @param code the reason
     * @param retryAfterMs when the caller may retry, in milliseconds from now; 0 if it does not help
     */
    record Refuse(ResultCode code, long retryAfterMs) implements TakeUpDecision {}

    /** How the origin of a stream was found out. */
    enum Source {
        /** This entry passed the first event on. */
        OWN,
        /** The note of another entry in the store. */
        NOTE,
        /** Only one version can have begun any stream of the service. */
        ONLY_VERSION
    }
}
